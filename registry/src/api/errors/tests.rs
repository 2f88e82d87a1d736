use super::ApiError;
use crate::steering::SteeringError;
use http_body_util::BodyExt;
use hyper::header;
use vanepath_config::ValidationError;

async fn format_response(error: ApiError) -> String {
    let (head, body) = error.into_response().into_parts();
    let retry_after = head.headers.get(header::RETRY_AFTER).map(|value| value.to_str().unwrap());
    let retry_after = retry_after.map_or(String::new(), |after| format!(" retry-after {after}"));
    let body = body.collect().await.unwrap().to_bytes();
    format!("{}{retry_after} {}", head.status.as_u16(), String::from_utf8_lossy(&body))
}

/// The status, `Retry-After` and body of every error are part of the API.
#[tokio::test]
async fn each_error_has_its_status_and_body() {
    let validation_error =
        ValidationError { path: "$.rules".to_string(), message: "missing".to_string() };
    let reason = || "no store is in reach".to_string();
    let mut responses = String::new();
    for error in [
        ApiError::MethodNotAllowed,
        ApiError::NoSuchPath,
        ApiError::InvalidIdempotencyKey,
        ApiError::UnreadableIfMatch,
        ApiError::InvalidIfMatch,
        ApiError::InvalidRevision,
        ApiError::IncompleteBody,
        ApiError::ConfigTooLarge { max_bytes: 100 },
        ApiError::InvalidConfig(vec![validation_error]),
        ApiError::NoSuchZone,
        ApiError::NoConfigYet,
        ApiError::NoConfigAtRevision,
        ApiError::NoSuchRevision { latest: 7 },
        ApiError::NoSuchSubmission { revision: 7 },
        ApiError::StoresUnavailable { reason: reason() },
        ApiError::WriteNotApplied { reason: reason() },
        ApiError::UnexpectedOutcome,
        ApiError::Steering(SteeringError::Behind),
        ApiError::Steering(SteeringError::Partitioned),
        ApiError::Steering(SteeringError::NotReady),
    ] {
        responses += &format_response(error).await;
    }
    expect_test::expect![[r#"
        405 {"error":"not with this method"}
        404 {"error":"no such path"}
        400 {"error":"idempotency-key: 1 to 128 letters, digits, '-' and '_'"}
        400 {"error":"if-match: not readable"}
        400 {"error":"if-match: one setup revision, as in \"12\""}
        400 {"error":"a revision is a whole number"}
        400 {"error":"the body broke off"}
        413 {"outcome":"nothing-done","faults":[{"path":"$","message":"larger than 100 bytes"}]}
        422 {"outcome":"nothing-done","faults":[{"path":"$.rules","message":"missing"}]}
        404 {"error":"no such zone"}
        404 {"error":"no setup was accepted yet"}
        404 {"error":"no setup was in force at that revision"}
        404 {"error":"no such revision","latest":7}
        404 {"outcome":"not-found","why":"no write under this key is among the last ones in force","revision":7}
        503 retry-after 2 {"error":"no store is in reach"}
        503 retry-after 2 {"outcome":"nothing-done","why":"no store is in reach"}
        500 {"error":"a store replied to another question"}
        503 retry-after 1 {"error":"this directory is behind what you have"}
        503 retry-after 1 {"error":"this directory is cut off, and what you have may be newer"}
        503 retry-after 1 {"error":"this directory knows no setup or no place yet"}
    "#]]
    .assert_eq(&responses);
}
