//! Commands that send single requests or run callers in the background.

use std::collections::BTreeMap;

use conf::Name;
use http::{Method, StatusCode};
use standin::{
    client::{Ending, Exchange},
    prompt::{ChatMessage, ChatRequest},
};

use super::{
    Result,
    command::Command,
    runner::ScenarioRunner,
    wait,
    workload::{CallerPool, CallerPoolSettings},
};

/// Client account of callers that specify none. The API key of a client account is its name followed by `-key`.
const DEFAULT_CLIENT_ACCOUNT: &str = "cooperative";

impl ScenarioRunner {
    pub(super) fn chat(&mut self, command: &Command) -> Result<String> {
        let Command::Chat {
            through,
            prompt,
            stream,
            tokens,
            tenant,
            rank,
            model,
        } = command
        else {
            return Err("not a chat command".into());
        };
        let message = ChatMessage {
            role: "user".into(),
            content: Name::from(prompt.clone()),
        };
        let request = ChatRequest {
            model: Name::from(model.clone().unwrap_or_else(|| "assistant".to_owned())),
            messages: vec![message],
            stream: *stream,
            max_tokens: *tokens,
            ..ChatRequest::default()
        };
        let bearer = bearer(tenant.as_deref());
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(rank.as_deref().map(|rank| ("x-mustardstack-rank", rank)));
        let base_url = self.caller_url(through, "")?;
        let chat = self.client.chat(&base_url, &headers, &request);
        let exchange = self.runtime.block_on(chat);
        Ok(describe_chat(&exchange, &request))
    }

    pub(super) fn call(&mut self, command: &Command) -> Result<String> {
        let Command::Call {
            through,
            method,
            path,
            body,
            key,
            tenant,
            retry,
            background,
        } = command
        else {
            return Err("not a call command".into());
        };
        let bearer = bearer(tenant.as_deref());
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
        let url = self.caller_url(through, path)?;
        let method = Method::try_from(method.as_str())?;
        let body = body.as_deref().unwrap_or_default();
        if *background {
            self.send_in_background(method, url, &headers, body);
            return Ok(String::new());
        }
        let exchange = wait::until("an answer that is not a refusal", || {
            let exchange = self.send(method.clone(), &url, &headers, body);
            let is_refused = exchange.run_field().as_deref() == Some("not_run");
            Ok((!retry || !is_refused).then_some(exchange))
        })?;
        Ok(describe_call(&exchange))
    }

    pub(super) fn send_in_background(
        &self,
        method: Method,
        url: String,
        headers: &[(&str, &str)],
        body: &str,
    ) {
        let client = self.client.clone();
        let headers: Vec<(String, String)> = headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let body = body.to_owned();
        self.runtime.spawn(async move {
            let headers: Vec<(&str, &str)> = headers
                .iter()
                .map(|(name, value)| (name.as_str(), value.as_str()))
                .collect();
            client.send(method, &url, &headers, body).await
        });
    }

    pub(super) fn start_callers(
        &mut self,
        through: &[String],
        callers: usize,
        tokens: u32,
        client_account: Option<&str>,
    ) -> Result<String> {
        if self.caller_pool.is_some() {
            return Err("callers are already running".into());
        }
        let mut instances = BTreeMap::new();
        for id in through {
            instances.insert(id.clone(), self.cluster.get(id)?.caller_address);
        }
        let settings = CallerPoolSettings {
            instances,
            callers,
            tokens,
            key: api_key(client_account),
        };
        let client = self.client.clone();
        self.caller_pool = Some(CallerPool::start(self.runtime.handle(), client, settings));
        Ok(String::new())
    }

    pub(super) fn wait_answers(&mut self, count: usize) -> Result<String> {
        let pool = self.caller_pool.as_ref().ok_or("no callers are running")?;
        let goal = pool.answers() + u64::try_from(count)?;
        wait::until("answers", || Ok((pool.answers() >= goal).then_some(())))?;
        Ok(String::new())
    }

    pub(super) fn finish_callers(&mut self) -> Result<String> {
        let pool = self.caller_pool.take().ok_or("no callers are running")?;
        Ok(pool.finish().to_string())
    }
}

fn api_key(client_account: Option<&str>) -> String {
    format!("{}-key", client_account.unwrap_or(DEFAULT_CLIENT_ACCOUNT))
}

fn bearer(client_account: Option<&str>) -> String {
    format!("Bearer {}", api_key(client_account))
}

fn describe_chat(exchange: &Exchange, request: &ChatRequest) -> String {
    if exchange.ending != Ending::Complete || exchange.status != Some(StatusCode::OK) {
        return describe_failure(exchange);
    }
    let text = match request.stream {
        true => Some(exchange.text.clone()),
        false => exchange.completion_text(),
    };
    match text == Some(request.answer()) {
        true => "200 complete".to_owned(),
        false => "200 wrong".to_owned(),
    }
}

fn describe_call(exchange: &Exchange) -> String {
    if exchange.ending != Ending::Complete || exchange.status != Some(StatusCode::OK) {
        return describe_failure(exchange);
    }
    match exchange.json()["executions"].as_u64() {
        Some(executions) => format!("200 executions={executions}"),
        None => "200 without executions".to_owned(),
    }
}

fn describe_failure(exchange: &Exchange) -> String {
    match (&exchange.ending, exchange.status) {
        (Ending::Complete, Some(status)) => match exchange.run_field() {
            Some(run) => format!("{} run={run}", status.as_u16()),
            None => status.as_u16().to_string(),
        },
        (Ending::Interrupted, _) => "interrupted".to_owned(),
        (Ending::TimedOut, _) => "timed out".to_owned(),
        (Ending::NotConnected, _) => "not connected".to_owned(),
        _ => "no response".to_owned(),
    }
}
