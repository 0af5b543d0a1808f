//! The requests and responses of a session of callers and operators, compared
//! with a golden file.

use expect_test::expect_file;
use hyper::Method;
use landingvalve::wire::entry::Stage;
use landingvalve_standin::site::OPERATOR_TOKEN;
use serde_json::json;
use serde_json::Value;

use crate::support;

/// Fields whose values differ from run to run; the golden file masks them.
const VOLATILE_FIELDS: [&str; 5] =
    ["at", "revision", "workers", "log", "tokens"];

fn mask_volatile_fields(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                match VOLATILE_FIELDS.contains(&&**name) {
                    true => *field = json!("..."),
                    false => mask_volatile_fields(field),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(mask_volatile_fields),
        _ => {}
    }
}

/// A session with one entry; `text` records its requests and responses.
struct Session {
    url: String,
    text: String,
}

impl Session {
    async fn call(
        &mut self,
        token: &str,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) {
        let suffix = body.as_ref().map(|body| format!(" {body}"));
        let line = format!("{method} {path}{}", suffix.unwrap_or_default());
        let response =
            support::call(&self.url, token, method, path, body).await;
        let mut response = response.expect("a response");
        mask_volatile_fields(&mut response.body);
        let code = response.status.as_u16();
        let entry = format!("{line}\n{code} {}\n\n", response.body);
        self.text.push_str(&entry);
    }

    async fn caller(&mut self, method: Method, path: &str, body: Value) {
        let body = (!body.is_null()).then_some(body);
        self.call("a-token", method, path, body).await;
    }

    async fn operator(&mut self, method: Method, path: &str, body: Value) {
        let body = (!body.is_null()).then_some(body);
        self.call(OPERATOR_TOKEN, method, path, body).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn session_matches_its_golden_file() {
    let site = support::start_site(1).await;
    let url = site.url("e1");
    let mut session = Session {
        url: url.clone(),
        text: String::new(),
    };
    let jobs = "/v1/jobs";
    let none = Value::Null;
    let report = json!({"template": "report", "request_id": "r1",
        "wait": true, "parameters": {"run_ms": 20, "output": "balance"}});
    session.caller(Method::POST, jobs, report.clone()).await;
    session.caller(Method::POST, jobs, report).await;
    let other = json!({"template": "small", "request_id": "r1"});
    session.caller(Method::POST, jobs, other).await;
    let path = "/v1/jobs/a.r1";
    session.caller(Method::GET, path, none.clone()).await;
    let path = "/v1/jobs/a.nothing";
    session.caller(Method::GET, path, none.clone()).await;
    let long = json!({"template": "gang", "request_id": "g1",
        "parameters": {"run_ms": 60000}});
    session.caller(Method::POST, jobs, long).await;
    support::wait_for_stage(&url, "a.g1", Stage::Running).await;
    let path = "/v1/jobs/a.g1/answer";
    session.caller(Method::GET, path, none.clone()).await;
    let path = "/v1/jobs/a.g1";
    session.caller(Method::DELETE, path, none.clone()).await;
    support::wait_for_stage(&url, "a.g1", Stage::Ended).await;
    session.caller(Method::GET, path, none.clone()).await;
    let failing = json!({"template": "report", "request_id": "f1",
        "wait": true, "parameters": {"run_ms": 5, "fail": true}});
    session.caller(Method::POST, jobs, failing).await;
    let path = "/v1/config/templates/small";
    session.operator(Method::GET, path, none.clone()).await;
    let stale = json!({"revision": 1, "edit": "stale",
        "value": support::template_value(2, "worker", true)});
    session.operator(Method::PUT, path, stale).await;
    let path = "/v1/config/check/accounts/b";
    let greedy = json!({"value": {"guarantee":
        [{"accelerators": 80, "within": "hall"}], "rate": 0}});
    session.operator(Method::POST, path, greedy).await;
    let path = "/v1/config/accounts/c";
    let odd = json!({"value": {"guaranty": []}});
    session.operator(Method::PUT, path, odd).await;
    session
        .call("a-token", Method::GET, "/v1/status", None)
        .await;
    let golden = expect_file!["../golden/session.txt"];
    golden.assert_eq(&session.text);
}
