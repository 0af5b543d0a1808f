//! The promises of the system, each under the failure that could break it,
//! over real sockets.

use std::time::Duration;

use hyper::header::RETRY_AFTER;
use hyper::Method;
use hyper::StatusCode;
use landingvalve::http;
use landingvalve::job::Outcome;
use landingvalve::record::Record;
use landingvalve::store;
use landingvalve::store::Mutation;
use landingvalve::wire::entry::Stage;
use landingvalve::wire::entry::Status;
use landingvalve_standin::site::OPERATOR_TOKEN;
use landingvalve_standin::store::Fault;
use serde_json::json;
use tokio::time::Instant;

use crate::support;

const STORE_DOWN: Fault = Fault {
    down: true,
    delay: Duration::ZERO,
    lost_replies: 0,
};

fn job_request(template: &str, id: &str, run_ms: u64) -> serde_json::Value {
    json!({"template": template, "request_id": id,
        "parameters": {"run_ms": run_ms, "output": id}})
}

fn waiting_request(
    template: &str,
    id: &str,
    run_ms: u64,
) -> serde_json::Value {
    let mut body = job_request(template, id, run_ms);
    body["wait"] = json!(true);
    body
}

fn outcome(response: &support::Response) -> Option<Outcome> {
    let status: Status = serde_json::from_value(response.body.clone()).ok()?;
    Some(status.end?.outcome)
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_takeover_does_not_disturb_running_tasks() {
    let mut site = support::start_site(3).await;
    let planner = site.planner().expect("a planner");
    let other = site.entries.keys().find(|e| **e != planner).cloned();
    let url = site.url(&other.unwrap());
    support::submit(&url, job_request("gang", "g", 4000))
        .await
        .unwrap();
    support::wait_for_stage(&url, "a.g", Stage::Running).await;

    site.kill_entry(&planner);
    let killed = Instant::now();
    let response =
        support::submit(&url, waiting_request("small", "s", 10)).await;
    assert_eq!(outcome(&response.unwrap()), Some(Outcome::Done));
    let next_start = killed.elapsed();
    assert!(next_start < Duration::from_secs(8), "{next_start:?}");

    let status = support::wait_for_stage(&url, "a.g", Stage::Ended).await;
    assert_eq!(status.end.unwrap().outcome, Outcome::Done);
    assert_eq!(support::start_count(&site, "a.g"), 2, "one on each worker");
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_non_repeatable_job_starts_at_most_once_through_takeovers() {
    let mut site = support::start_site(3).await;
    for (round, delay_ms) in [0, 30, 60, 120].into_iter().enumerate() {
        let planner =
            support::until("a planner", || async { site.planner() }).await;
        let other = site.entries.keys().find(|e| **e != planner).cloned();
        let url = site.url(&other.unwrap());
        let id = format!("r{round}");
        let mut submitting =
            Box::pin(support::submit(&url, job_request("report", &id, 300)));
        let delay = Duration::from_millis(delay_ms);
        let _ = tokio::time::timeout(delay, &mut submitting).await;
        site.kill_entry(&planner);
        drop(submitting);
        // Repeats the same request until the job has ended.
        let status = support::until("an end", || async {
            let retry = waiting_request("report", &id, 300);
            let response = support::submit(&url, retry).await?;
            serde_json::from_value::<Status>(response.body).ok()?.end
        })
        .await;
        let starts = support::start_count(&site, &format!("a.{id}"));
        assert!(starts <= 1, "round {round}: {starts} starts");
        match status.outcome {
            Outcome::Done => assert_eq!(starts, 1),
            Outcome::Unknown => {}
            other => panic!("round {round}: {other:?}"),
        }
        site.add_entry(&format!("n{round}")).await.unwrap();
    }
}

/// Guards against jobs that are called unknown because the store did not
/// answer, or holds a record that cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_record_cannot_be_read_is_not_called_unknown() {
    let site = support::start_site(1).await;
    let url = site.url("e1");
    let status = async |job: &str| {
        let path = format!("/v1/jobs/{job}");
        let call = support::call(&url, "a-token", Method::GET, &path, None);
        let response = call.await.expect("answers");
        let retry = response.headers.contains_key(RETRY_AFTER);
        (response.status, retry)
    };
    assert_eq!(status("a.x").await, (StatusCode::NOT_FOUND, false));
    let store = store::Client::new(http::Client::new(), site.store.url());
    let odd = Mutation::Value(Record::key("a.x"), b"7".to_vec(), 0);
    store.swap(&[], vec![odd]).await.expect("is written");
    let odd = (StatusCode::INTERNAL_SERVER_ERROR, false);
    assert_eq!(status("a.x").await, odd);
    site.store.set_fault(STORE_DOWN);
    let down = (StatusCode::SERVICE_UNAVAILABLE, true);
    assert_eq!(status("a.x").await, down);
}

/// Guards against agents that forget a job once its end is reported, though
/// not yet written: the next planner then concludes that the job never began.
#[tokio::test(flavor = "multi_thread")]
async fn promise_end_that_was_not_written_survives_a_takeover() {
    let mut site = support::start_site(2).await;
    let planner = site.planner().expect("a planner");
    let other = site.entries.keys().find(|e| **e != planner).cloned();
    let (url, other) = (site.url(&planner), site.url(&other.unwrap()));
    support::submit(&url, job_request("report", "r", 700))
        .await
        .unwrap();
    support::wait_for_stage(&url, "a.r", Stage::Running).await;
    site.store.set_fault(STORE_DOWN);
    support::wait_for_stage(&url, "a.r", Stage::Ended).await;
    site.kill_entry(&planner);
    site.store.set_fault(Fault::default());
    let status = support::wait_for_stage(&other, "a.r", Stage::Ended).await;
    let end = status.end.unwrap();
    assert_eq!(end.outcome, Outcome::Done, "{}", end.reason);
    assert_eq!(end.output.as_deref(), Some("r"));
    assert_eq!(support::start_count(&site, "a.r"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_store_outage_stops_only_work_that_needs_the_store() {
    let site = support::start_site(2).await;
    let url = site.url("e1");
    support::submit(&url, job_request("gang", "g", 1500))
        .await
        .unwrap();
    support::wait_for_stage(&url, "a.g", Stage::Running).await;

    site.store.set_fault(STORE_DOWN);
    let response =
        support::submit(&url, waiting_request("small", "s", 10)).await;
    assert_eq!(outcome(&response.unwrap()), Some(Outcome::Done));
    for body in [
        job_request("small", "s2", 10),
        waiting_request("report", "r", 10),
    ] {
        let response = support::submit(&url, body).await.unwrap();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key(RETRY_AFTER));
    }
    assert_eq!(
        support::start_count(&site, "a.r"),
        0,
        "started before its mark was written"
    );
    let status = support::wait_for_stage(&url, "a.g", Stage::Ended).await;
    assert_eq!(status.end.unwrap().outcome, Outcome::Done);

    site.store.set_fault(Fault::default());
    let status = support::until("the report's end", || async {
        let response =
            support::submit(&url, waiting_request("report", "r", 10)).await?;
        outcome(&response)
    })
    .await;
    assert_eq!(status, Outcome::Done);
    assert_eq!(support::start_count(&site, "a.r"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_write_with_a_lost_response_takes_effect_once() {
    let site = support::start_site(2).await;
    let url = site.url("e1");
    let lose = |lost_replies| Fault {
        lost_replies,
        ..Fault::default()
    };
    for round in 0..3 {
        site.store.set_fault(lose(1 + round));
        let id = format!("r{round}");
        let end = support::until("an end", || async {
            let body = waiting_request("report", &id, 10);
            let response = support::submit(&url, body).await?;
            outcome(&response)
        })
        .await;
        assert_eq!(end, Outcome::Done);
        assert_eq!(support::start_count(&site, &format!("a.{id}")), 1);
    }
    // An edit whose response is lost is made once.
    site.store.set_fault(lose(1));
    let value = support::template_value(3, "worker", true);
    let body = json!({"value": value, "revision": 0, "edit": "once"});
    let path = "/v1/config/templates/three";
    let put =
        support::call(&url, OPERATOR_TOKEN, Method::PUT, path, Some(body));
    assert_eq!(put.await.unwrap().status, StatusCode::OK);
    let item = support::until("the item", || async {
        let get = support::call(&url, OPERATOR_TOKEN, Method::GET, path, None);
        get.await.filter(|a| a.status == StatusCode::OK)
    })
    .await;
    assert_eq!(item.body["item"]["edits"].as_array().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_lapsed_lease_of_the_planner_disturbs_no_job() {
    let site = support::start_site(3).await;
    let url = site.url("e1");
    support::submit(&url, job_request("gang", "g", 3000))
        .await
        .unwrap();
    support::wait_for_stage(&url, "a.g", Stage::Running).await;
    let before = support::wait_until_settled(&url, 11)
        .await
        .cell
        .unwrap()
        .epoch;

    // The planner's lease lapses, as if its process had been paused for longer
    // than that.
    site.store.expire_leases();
    let after = support::until("a later epoch", || async {
        let cell = support::view(&url).await?.cell?;
        (cell.epoch > before).then_some(cell.epoch)
    })
    .await;
    assert!(after > before);
    let response =
        support::submit(&url, waiting_request("report", "r", 10)).await;
    assert_eq!(outcome(&response.unwrap()), Some(Outcome::Done));
    let status = support::wait_for_stage(&url, "a.g", Stage::Ended).await;
    assert_eq!(status.end.unwrap().outcome, Outcome::Done);
    assert_eq!(support::start_count(&site, "a.g"), 2);
    assert_eq!(support::start_count(&site, "a.r"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_gang_that_loses_a_member_stops_as_a_whole() {
    let mut site = support::start_site(1).await;
    let url = site.url("e1");
    support::submit(&url, job_request("gang", "g", 2500))
        .await
        .unwrap();
    let status = support::wait_for_stage(&url, "a.g", Stage::Running).await;
    let lost = status.workers[1].to_string();
    let kept = status.workers[0].to_string();
    let task = site.endpoints[&kept].running_tasks().remove(0);

    site.lose_worker(&lost);
    support::until("the rest of the gang to stop", || async {
        let running = site.endpoints[&kept].running_tasks();
        (!running.contains(&task)).then_some(())
    })
    .await;
    let status = support::wait_for_stage(&url, "a.g", Stage::Ended).await;
    let end = status.end.unwrap();
    assert_eq!(end.outcome, Outcome::Done, "{}", end.reason);
    assert_eq!(end.output.as_deref(), Some("g"));
    assert!(end.attempt > 1, "restarted elsewhere");
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_leaving_worker_gets_no_new_work() {
    let mut site = support::start_site(1).await;
    let url = site.url("e1");
    site.vms.mark_leaving("h1r1w1");
    support::until("the worker to be leaving", || async {
        let cell = support::view(&url).await?.cell?;
        let mut workers = cell.workers.iter();
        workers.find(|w| w.presence == "leaving").map(|_| ())
    })
    .await;
    let before = site.endpoints["h1r1w1"].started_tasks().len();
    for round in 0..40 {
        let id = format!("s{round}");
        support::submit(&url, job_request("small", &id, 300))
            .await
            .unwrap();
    }
    for round in 0..40 {
        let id = format!("a.s{round}");
        support::wait_for_stage(&url, &id, Stage::Ended).await;
    }
    assert_eq!(site.endpoints["h1r1w1"].started_tasks().len(), before);
    site.kill_agent("h1r1w1");
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_planned_stop_completes_open_requests() {
    let mut site = support::start_site(3).await;
    let planner = site.planner().expect("a planner");
    let url = site.url(&planner);
    let body = waiting_request("gang", "g", 2000);
    let caller =
        tokio::spawn(async move { support::submit(&url, body).await });
    let other = site.entries.keys().find(|e| **e != planner).cloned();
    let other = site.url(&other.unwrap());
    support::wait_for_stage(&other, "a.g", Stage::Running).await;

    let entry = site.entries.remove(&planner).unwrap();
    entry.stop(Instant::now() + support::TIMEOUT).await;
    let response = caller.await.unwrap().expect("a complete response");
    assert_eq!(outcome(&response), Some(Outcome::Done));
    assert_eq!(support::start_count(&site, "a.g"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_configuration_races_have_one_winner_and_never_revert() {
    let site = support::start_site(3).await;
    let urls: Vec<String> = site.entries.keys().map(|e| site.url(e)).collect();
    let path = "/v1/config/accounts/a";
    let item =
        support::call(&urls[0], OPERATOR_TOKEN, Method::GET, path, None);
    let revision = item.await.unwrap().body["revision"].clone();
    let edits = urls.iter().enumerate().map(|(at, url)| {
        let value = support::account_value(10 + at as u32);
        let edit = format!("race-{at}");
        let body = json!({"value": value, "revision": revision, "edit": edit});
        support::call(url, OPERATOR_TOKEN, Method::PUT, path, Some(body))
    });
    let responses = futures_util::future::join_all(edits).await;
    let won = responses
        .iter()
        .flatten()
        .filter(|response| response.status == StatusCode::OK)
        .count();
    assert_eq!(won, 1, "{responses:?}");
    let lost = responses.iter().flatten().find(|a| !a.status.is_success());
    let lost = lost.expect("two edits that lost the race");
    assert_eq!(lost.status, StatusCode::CONFLICT);
    assert!(lost.body["current"]["value"]["borrow"].is_number());

    let revision = support::wait_until_settled(&urls[0], 11).await.revision;
    site.store.set_fault(STORE_DOWN);
    for url in &urls {
        let view = support::view(url).await.unwrap();
        assert_eq!(view.revision, revision);
    }
    site.store.set_fault(Fault::default());
    let view = support::wait_until_settled(&urls[0], 11).await;
    assert_eq!(view.revision, revision);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_new_entry_gets_its_configuration_from_peers_without_the_store(
) {
    let mut site = support::start_site(2).await;
    let revision = support::wait_until_settled(&site.url("e1"), 11)
        .await
        .revision;
    site.store.set_fault(STORE_DOWN);
    site.add_entry("e3").await.unwrap();
    support::until("the peers' configuration", || async {
        let entry = site.entries.get("e3")?;
        (entry.revision() == revision).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_jobs_that_fail_on_bad_workers_run_elsewhere() {
    let site = support::start_site(1).await;
    let url = site.url("e1");
    let response =
        support::submit(&url, waiting_request("small", "s", 10)).await;
    assert_eq!(outcome(&response.unwrap()), Some(Outcome::Done));
    for endpoint in ["h1r1w1", "h1r1w2"] {
        site.endpoints[endpoint].set_failing(true);
    }
    for round in 0..40 {
        let id = format!("b{round}");
        support::submit(&url, job_request("small", &id, 200))
            .await
            .unwrap();
    }
    for round in 0..40 {
        let id = format!("a.b{round}");
        let status = support::wait_for_stage(&url, &id, Stage::Ended).await;
        assert_eq!(status.end.unwrap().outcome, Outcome::Done);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_mass_cancellation_ends_every_job_and_task() {
    let site = support::start_site(2).await;
    let url = site.url("e1");
    for round in 0..120 {
        let id = format!("c{round}");
        support::submit(&url, job_request("small", &id, 60_000))
            .await
            .unwrap();
    }
    let cancels = (0..120).map(|round| {
        let path = format!("/v1/jobs/a.c{round}");
        let url = url.clone();
        async move {
            let method = Method::DELETE;
            support::call(&url, "a-token", method, &path, None).await
        }
    });
    futures_util::future::join_all(cancels).await;
    for round in 0..120 {
        let id = format!("a.c{round}");
        let status = support::wait_for_stage(&url, &id, Stage::Ended).await;
        assert_eq!(status.end.unwrap().outcome, Outcome::Cancelled);
    }
    support::until("every task to stop", || async {
        let running = site.endpoints.values().map(|e| e.running_tasks().len());
        (running.sum::<usize>() == 0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_response_belongs_to_its_own_request() {
    let site = support::start_site(3).await;
    let urls: Vec<String> = site.entries.keys().map(|e| site.url(e)).collect();
    let calls = (0..60).map(|round| {
        let url = urls[round % urls.len()].clone();
        async move {
            let id = format!("x{round}");
            let run_ms = 10 + (round as u64 * 37) % 90;
            let body = waiting_request("small", &id, run_ms);
            (id, support::submit(&url, body).await)
        }
    });
    for (id, response) in futures_util::future::join_all(calls).await {
        let status: Status =
            serde_json::from_value(response.unwrap().body).unwrap();
        assert_eq!(*status.job, *format!("a.{id}"));
        assert_eq!(status.end.unwrap().output, Some(id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_cancellation_is_reported_only_once_it_is_written() {
    let site = support::start_site(1).await;
    let url = site.url("e1");
    // More jobs than the account may run at once, so that the last one waits.
    for round in 0..5 {
        let id = format!("g{round}");
        support::submit(&url, job_request("gang", &id, 60_000))
            .await
            .unwrap();
    }
    let queued = support::until("a queued job", || async {
        for round in 0..5 {
            let id = format!("a.g{round}");
            let status = support::job_status(&url, &id).await?;
            if status.stage == Stage::Queued {
                return Some(id);
            }
        }
        None
    })
    .await;
    site.store.set_fault(STORE_DOWN);
    let path = format!("/v1/jobs/{queued}");
    let method = Method::DELETE;
    let response = support::call(&url, "a-token", method, &path, None).await;
    let status: Status =
        serde_json::from_value(response.unwrap().body).unwrap();
    assert!(status.end.is_none(), "reported before it is written");
    site.store.set_fault(Fault::default());
    let status = support::wait_for_stage(&url, &queued, Stage::Ended).await;
    assert_eq!(status.end.unwrap().outcome, Outcome::Cancelled);
    assert_eq!(support::start_count(&site, &queued), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_guarantee_is_reclaimed_from_borrowers() {
    let site = support::start_site(1).await;
    let url = site.url("e1");
    let b = json!({"borrow": 88,
        "tokens": [landingvalve::util::digest::of(b"b-token")]});
    support::put_config(&url, "accounts/b", b).await;
    for round in 0..11 {
        let id = format!("b{round}");
        let body = job_request("eight", &id, 60_000);
        let eight = support::template_value(8, "worker", true);
        support::put_config(&url, "templates/eight", eight).await;
        // An accepted template comes into force with a short delay.
        support::until("a borrower to be accepted", || async {
            let body = Some(body.clone());
            let (method, path) = (Method::POST, "/v1/jobs");
            let response = support::call(&url, "b-token", method, path, body);
            let accepted = response.await?.status == StatusCode::ACCEPTED;
            accepted.then_some(())
        })
        .await;
    }
    support::until("the site to be full", || async {
        let cell = support::view(&url).await?.cell?;
        (cell.running == 11).then_some(())
    })
    .await;
    let submitted = Instant::now();
    support::submit(&url, job_request("gang", "g", 100))
        .await
        .unwrap();
    support::wait_for_stage(&url, "a.g", Stage::Ended).await;
    assert!(submitted.elapsed() < Duration::from_secs(10));
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_overload_is_shed_early_and_urgent_work_still_starts() {
    let site = support::start_site(2).await;
    let url = site.url("e1");
    let mut narrow = support::account_value(64);
    narrow["queue"] = json!(100);
    narrow["rate"] = json!(10_000);
    let path = "/v1/config/accounts/a";
    let item = support::call(&url, OPERATOR_TOKEN, Method::GET, path, None);
    let revision = item.await.unwrap().body["revision"].clone();
    let body =
        json!({"value": narrow, "revision": revision, "edit": "narrow"});
    let put =
        support::call(&url, OPERATOR_TOKEN, Method::PUT, path, Some(body));
    assert_eq!(put.await.unwrap().status, StatusCode::OK);
    let b = json!({"borrow": 8,
        "tokens": [landingvalve::util::digest::of(b"b-token")]});
    support::put_config(&url, "accounts/b", b).await;
    let mut urgent = support::template_value(1, "worker", true);
    urgent["urgent"] = json!(true);
    support::put_config(&url, "templates/urgent", urgent).await;
    support::wait_until_settled(&url, 11).await;

    // Ten times what the site can run at once.
    let burst = (0..880).map(|round| {
        let id = format!("o{round}");
        let url = site.url(if round % 2 == 0 { "e1" } else { "e2" });
        // A connection that is not made in time has sent no request; retry it.
        async move {
            let submit =
                || support::submit(&url, job_request("small", &id, 60_000));
            support::until("a response", submit).await
        }
    });
    let responses = futures_util::future::join_all(burst).await;
    let count_of = |status: StatusCode| {
        let same = |a: &&support::Response| a.status == status;
        responses.iter().filter(same).count()
    };
    let others: Vec<StatusCode> = responses
        .iter()
        .map(|response| response.status)
        .filter(|status| *status != StatusCode::ACCEPTED)
        .filter(|status| *status != StatusCode::TOO_MANY_REQUESTS)
        .collect();
    let statuses = format!("other statuses {others:?}");
    assert_eq!(count_of(StatusCode::ACCEPTED), 100, "{statuses}");
    assert_eq!(count_of(StatusCode::TOO_MANY_REQUESTS), 780, "{statuses}");
    let shed = responses
        .iter()
        .find(|a| a.status == StatusCode::TOO_MANY_REQUESTS)
        .unwrap();
    assert!(shed.headers.contains_key(RETRY_AFTER));

    let submitted = Instant::now();
    let body = waiting_request("urgent", "u", 10);
    let path = "/v1/jobs";
    let method = Method::POST;
    let response = support::call(&url, "b-token", method, path, Some(body));
    assert_eq!(outcome(&response.await.unwrap()), Some(Outcome::Done));
    assert!(submitted.elapsed() < Duration::from_millis(3100));
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_restarted_agent_adopts_running_tasks() {
    let mut site = support::start_site(1).await;
    let url = site.url("e1");
    support::submit(&url, job_request("report", "r", 3000))
        .await
        .unwrap();
    let status = support::wait_for_stage(&url, "a.r", Stage::Running).await;
    let worker = status.workers[0].to_string();
    let places =
        landingvalve_standin::site::Config::with_entries(1).worker_places();
    let place = places.iter().find(|place| place[2] == worker).unwrap();

    site.kill_agent(&worker);
    site.add_agent(place).await.unwrap();
    let status = support::wait_for_stage(&url, "a.r", Stage::Ended).await;
    let end = status.end.unwrap();
    assert_eq!(end.outcome, Outcome::Done, "{}", end.reason);
    assert_eq!(end.output.as_deref(), Some("r"));
    assert_eq!(support::start_count(&site, "a.r"), 1);
}

/// Guards against a task whose end is lost: an agent that could not list its
/// endpoint's tasks began as if there were none, and the planner took the run
/// for one that had never begun.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_adopts_tasks_that_it_cannot_list_at_first() {
    let mut site = support::start_site(1).await;
    let url = site.url("e1");
    support::submit(&url, job_request("report", "r", 3000))
        .await
        .unwrap();
    let status = support::wait_for_stage(&url, "a.r", Stage::Running).await;
    let worker = status.workers[0].to_string();
    let places =
        landingvalve_standin::site::Config::with_entries(1).worker_places();
    let place = places.iter().find(|place| place[2] == worker).unwrap();

    site.kill_agent(&worker);
    site.endpoints[&worker].refuse_lists(3);
    site.add_agent(place).await.unwrap();
    let status = support::wait_for_stage(&url, "a.r", Stage::Ended).await;
    let end = status.end.unwrap();
    assert_eq!(end.outcome, Outcome::Done, "{}", end.reason);
    assert_eq!(end.output.as_deref(), Some("r"));
    assert_eq!(support::start_count(&site, "a.r"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_gang_recovers_if_planner_and_worker_are_lost_together() {
    let mut site = support::start_site(3).await;
    let planner = site.planner().expect("a planner");
    let other = site.entries.keys().find(|e| **e != planner).cloned();
    let url = site.url(&other.unwrap());
    support::submit(&url, job_request("gang", "g", 2000))
        .await
        .unwrap();
    let status = support::wait_for_stage(&url, "a.g", Stage::Running).await;
    let lost = status.workers[0].to_string();
    site.kill_entry(&planner);
    site.lose_worker(&lost);
    let status = support::wait_for_stage(&url, "a.g", Stage::Ended).await;
    let end = status.end.unwrap();
    assert_eq!(end.outcome, Outcome::Done, "{}", end.reason);
}

#[tokio::test(flavor = "multi_thread")]
async fn promise_end_of_a_store_outage_causes_no_burst_of_calls() {
    let site = support::start_site(3).await;
    let url = site.url("e1");
    site.store.set_fault(STORE_DOWN);
    let calls =
        (0..40).map(|round| {
            let url = url.clone();
            let id = format!("s{round}");
            async move {
                support::submit(&url, waiting_request("small", &id, 5)).await
            }
        });
    let responses = futures_util::future::join_all(calls).await;
    let done = |a: &&support::Response| outcome(a) == Some(Outcome::Done);
    assert_eq!(responses.iter().flatten().filter(done).count(), 40);

    site.store.set_fault(Fault::default());
    support::wait_until_settled(&url, 11).await;
    support::until("every record", || async {
        let records = site.store.values("/landingvalve/job/");
        (records.len() == 40).then_some(())
    })
    .await;
    let calls = site.store.calls();
    let worst = calls.by_second.values().max().copied().unwrap();
    assert!(worst <= 200, "{worst} calls in one second");
    let writes = calls.by_path["/v3/kv/txn"];
    assert!(writes < 100, "{writes} transactions");
}
