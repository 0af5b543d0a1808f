//! A job from its caller's request to its tasks on the workers, and its output
//! back to the caller.

use hyper::Method;
use hyper::StatusCode;
use landingvalve::job::Outcome;
use landingvalve::util::digest;
use landingvalve::wire::entry::Status;
use landingvalve_standin::site::OPERATOR_TOKEN;
use serde_json::json;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn gang_runs_and_its_output_reaches_the_caller() {
    let site = support::start_site(2).await;
    let body = json!({"template": "gang", "wait": true, "request_id": "g1",
        "parameters": {"run_ms": 100, "output": "weights"}});
    let response = support::submit(&site.url("e2"), body).await;
    let response = response.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let status: Status = serde_json::from_value(response.body).unwrap();
    let end = status.end.expect("an end");
    assert_eq!(&*status.job, "a.g1");
    assert_eq!(end.outcome, Outcome::Done);
    assert_eq!(end.output.as_deref(), Some("weights"));
    assert_eq!(end.digest, digest::of(b"weights"));
    let starts = site.endpoints.values().flat_map(|e| e.started_tasks());
    assert_eq!(starts.count(), 2, "a task on each of two workers");
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_requests_are_rejected_with_the_field_named() {
    let site = support::start_site(1).await;
    let url = site.url("e1");
    let cases = [
        (json!({"template": "none"}), 422, "template: \"none\""),
        (json!({"template": "small", "sise": 1}), 400, "sise"),
        (
            json!({"template": "small", "request_id": "a b"}),
            422,
            "request_id: \"a b\"",
        ),
        (
            json!({"template": "small", "parameters": {"run_ms": "x"}}),
            422,
            "parameters.run_ms: \"x\", expected a whole number",
        ),
        (
            json!({"template": "small", "parameters": {"size": 1}}),
            422,
            "parameters.size: 1, expected one of fail, output, run_ms",
        ),
    ];
    for (body, code, message) in cases {
        let response = support::submit(&url, body.clone()).await.unwrap();
        let error = response.body["error"].as_str().unwrap_or_default();
        assert_eq!(response.status.as_u16(), code, "{body}");
        assert!(error.contains(message), "{body}: {error}");
    }
    let huge = support::template_value(200, "any", true);
    let body = json!({"value": huge, "edit": "huge"});
    let path = "/v1/config/templates/huge";
    let method = Method::PUT;
    let response =
        support::call(&url, OPERATOR_TOKEN, method, path, Some(body));
    let response = response.await.unwrap();
    let problem = &response.body["problems"][0];
    assert_eq!(problem["field"], "shape", "{response:?}");
    let path = "/v1/jobs";
    let response = support::call(&url, "wrong", Method::GET, path, None).await;
    assert_eq!(response.unwrap().status, StatusCode::UNAUTHORIZED);
}
