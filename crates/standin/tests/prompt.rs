//! Tests of prompts, answers and chunk hashes.

use standin::prompt::{self, ChatMessage, ChatRequest};

fn request(content: &str, max_tokens: Option<u32>) -> ChatRequest {
    let message = ChatMessage {
        role: "user".into(),
        content: content.to_owned().into(),
    };
    ChatRequest {
        messages: vec![message],
        max_tokens,
        ..ChatRequest::default()
    }
}

seeded::quickcheck! {
    /// Guards against a resumed answer that differs from the first engine's.
    fn every_prefix_of_an_answer_is_resumed_at_its_token(content: String, tokens: u8, at: u8) -> bool {
        let tokens = u32::from(tokens) + 1;
        let at = u32::from(at) % (tokens + 1);
        let full_request = request(&content, Some(tokens));
        let resume_text = full_request.answer().split(' ').take(at as usize).collect::<Vec<_>>().join(" ");
        let resumed = ChatRequest { resume_text: Some(resume_text.into()), ..full_request };
        resumed.resume_tokens() == Some(at)
    }

    /// Guards against two prompts whose answers a test could not tell apart.
    fn different_prompts_have_different_answers(first: String, second: String) -> bool {
        let same_prompt = first == second;
        let same_answer = request(&first, Some(64)).answer() == request(&second, Some(64)).answer();
        same_prompt == same_answer
    }
}

/// Guards against an engine that continues after the text of another answer.
#[test]
fn text_of_another_answer_is_not_resumed() {
    let other = request("Who brings lilies?", Some(40)).answer();
    let resumed = ChatRequest {
        resume_text: Some(other.into()),
        ..request("Who brings roses?", Some(40))
    };
    assert_eq!(resumed.resume_tokens(), None);
}

/// Guards against an answer length that differs from the one that a workload chooses.
#[test]
fn the_marker_sets_the_length_up_to_max_tokens() {
    let marked = "Summary of the year, answer-tokens=90 please";
    assert_eq!(request(marked, None).answer_tokens(), 90);
    assert_eq!(request(marked, Some(20)).answer_tokens(), 20);
    assert_eq!(request("Plan?", Some(7)).answer_tokens(), 7);
    assert!(request("Plan?", None).answer_tokens() > 0);
}

/// Guards against a cache that confuses models, or prompts that differ only at the start.
#[test]
fn chunk_hashes_cover_the_model_and_all_text_before() {
    let text = "a".repeat(40);
    let longer = format!("{text}{}", "b".repeat(40));
    let hashes = prompt::chunk_hashes("m", &longer, 10);
    assert_eq!(hashes.len(), 2);
    assert_eq!(prompt::chunk_hashes("m", &text, 10), hashes[..1]);
    assert_ne!(prompt::chunk_hashes("n", &text, 10), hashes[..1]);
    assert_ne!(prompt::chunk_hashes("m", &longer[40..], 10)[0], hashes[1]);
    let name = prompt::format_chunk_hash(hashes[0]);
    assert_eq!(prompt::parse_chunk_hash(&name), Some(hashes[0]));
}
