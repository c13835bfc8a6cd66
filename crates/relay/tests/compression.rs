//! Compression of the published document.

use relay::compression::{MAX_DOCUMENT_BYTES, compress, decompress};

/// Returns a document of 2,000 routes with pseudo-random names.
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

/// Guards against documents that occupy the link of an entry for half a second.
#[test]
fn a_document_of_many_routes_is_compressed_to_less_than_a_third() {
    let document = document();
    let compressed = compress(document.as_bytes()).expect("writes to memory do not fail");
    assert!(
        compressed.len() * 3 < document.len(),
        "{}",
        compressed.len()
    );
    assert_eq!(
        decompress(&compressed).expect("the document is undamaged"),
        document.as_bytes()
    );
}

/// Guards against damaged bytes that are accepted as a document, and against a few bytes that decompress to a document
/// without a size limit.
#[test]
fn damaged_and_oversized_documents_are_refused() {
    let compressed = compress(document().as_bytes()).expect("writes to memory do not fail");
    assert!(decompress(&compressed[..compressed.len() / 2]).is_err());
    let zeros = vec![0; MAX_DOCUMENT_BYTES + 1];
    let compressed = compress(&zeros).expect("writes to memory do not fail");
    assert!(decompress(&compressed).is_err());
}
