//! Compression of the published document.

use relay::pack::{DOCUMENT_BYTES, pack, unpack};

/// Returns a document of 2,000 routes with drawn names.
fn document() -> String {
    let route = |index: u64| {
        let name = index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"Name":"r-{name:x}","Host":"h{}.example","PathPrefix":"/p{name:x}/","Kind":"safe","TimeoutMs":3000}}"#,
            index % 7
        )
    };
    let routes: Vec<String> = (0..2_000).map(route).collect();
    format!("[{}]", routes.join(","))
}

/// Guards against documents that occupy the links of the entries for half a second.
#[test]
fn a_document_of_many_routes_takes_a_third_of_its_size() {
    let document = document();
    let packed = pack(document.as_bytes()).expect("memory takes it");
    assert!(packed.len() * 3 < document.len(), "{}", packed.len());
    assert_eq!(unpack(&packed).expect("it is whole"), document.as_bytes());
}

/// Guards against damaged bytes that are taken for a document, and against a few bytes that unfold without limit.
#[test]
fn damaged_and_oversized_documents_are_refused() {
    let packed = pack(document().as_bytes()).expect("memory takes it");
    assert!(unpack(&packed[..packed.len() / 2]).is_err());
    let zeros = vec![0; DOCUMENT_BYTES + 1];
    let packed = pack(&zeros).expect("memory takes it");
    assert!(unpack(&packed).is_err());
}
