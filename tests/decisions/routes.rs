//! Matching of calls to routes and accounts.

use std::time::Duration;

use rstest::rstest;
use scaleford::config::{
    KeyHash,
    serving::{CallKind, CallerLimits, Denied, KeyOwner, Route, RoutingKey, ServingConfig},
};
use scaleford::units::{ConfigVersion, Rank, StoreRevision};

fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        gap_goal: None,
        max_attempts: 2,
        rank: Rank(0),
        split: split
            .iter()
            .map(|(s, w)| (s.parse().unwrap(), *w))
            .collect(),
        ..Route::default()
    }
}

#[test]
fn the_longest_fitting_prefix_and_the_key_decide() {
    let mut config = ServingConfig::new(
        StoreRevision::first_era(1),
        ConfigVersion(1),
        CallerLimits::default(),
    );
    config.requires_keys = true;
    config.add_route(route("a.example", "/x/", &[("one", 1)]));
    config.add_route(route("a.example", "/x/y/", &[("two", 1)]));
    let key_owner = KeyOwner {
        account: "farm".parse().unwrap(),
        rank: None,
        limits: None,
    };
    config.add_key(KeyHash::of("secret"), key_owner.clone());
    let admit = |path: &str, key| {
        let routing_key = RoutingKey {
            host: "A.example:80".to_owned(),
            path: path.to_owned(),
            ..RoutingKey::default()
        };
        config
            .admit(&routing_key, key)
            .map(|(r, h)| (r.path_prefix.clone(), h))
    };
    assert_eq!(
        admit("/x/y/z", Some("secret")),
        Ok(("/x/y/".to_owned(), Some(key_owner)))
    );
    assert_eq!(admit("/x/yy", Some("wrong")), Err(Denied::WrongKey));
    assert_eq!(admit("/x/yy", None), Err(Denied::WrongKey));
    assert_eq!(admit("/z", Some("secret")), Err(Denied::NoRoute));
}

#[test]
fn a_split_is_kept_and_each_repeat_of_a_call_goes_to_the_same_service() {
    let route = route("a", "/", &[("one", 90), ("two", 10), ("none", 0)]);
    let name = |hash| route.service_for(hash).unwrap().to_string();
    let sent_to_two = (0..1_000).filter(|h| name(*h) == "two").count();
    assert_eq!(sent_to_two, 100);
    assert!((0..1_000).all(|h| name(h) != "none"));
}

/// The operators' own configuration, applied to calls.
mod own {
    use scaleford::{
        config::{
            ClientAccount, FleetConfig, KeyHash, Model, RouteRule, Service,
            routes::{CallerRules, serving_config},
            serving::{CallKind, CallerLimits, Denied, RoutingKey, ServingConfig, StreamRepeats},
        },
        dialect::{CallInfo, Dialect},
        ids::Revision,
        openai::OpenAiDialect,
        units::Priority,
    };
    use std::time::Duration;

    fn config() -> ServingConfig {
        let mut fleet = FleetConfig::default();
        let account = ClientAccount {
            key_hashes: vec![KeyHash::of("secret")],
            priority: Priority::Live,
            requests_per_s: 7,
            concurrency: 3,
        };
        fleet.accounts.insert("farm".parse().unwrap(), account);
        // A model and a service of the same name are two pools.
        fleet
            .models
            .insert("desk".parse().unwrap(), Model::default());
        let service = Service {
            unrepeatable: vec![RouteRule {
                method: "POST".to_owned(),
                path_prefix: "/confirm".to_owned(),
            }],
            timeout_ms: 700,
        };
        fleet.services.insert("desk".parse().unwrap(), service);
        let rules = CallerRules {
            limits: CallerLimits::default(),
            chat_timeout: Duration::from_secs(300),
            longest_silence: Duration::from_secs(60),
        };
        serving_config(&fleet, Revision(4), &rules)
    }

    fn read(method: &str, path: &str, body: &str) -> CallInfo {
        let req = hyper::Request::builder().method(method).uri(path);
        let (head, ()) = req
            .header("authorization", "Bearer secret")
            .body(())
            .unwrap()
            .into_parts();
        let body = body.to_owned().into();
        OpenAiDialect.parse_call(&head, &body, Some("a1")).unwrap()
    }

    #[test]
    fn a_chat_is_repeated_until_its_first_event_and_never_resumed() {
        let chat = r#"{"model": "desk", "stream": true, "messages": [
            {"role": "system", "content": "Be kind."}, {"role": "user", "content": "Hello?"}]}"#;
        let call = read("POST", "/v1/chat/completions", chat);
        assert_eq!((call.prompt.len(), call.shared_parts), (3, 1));
        let (route, key_owner) = config()
            .admit(&call.routing_key, call.key.as_deref())
            .unwrap();
        assert_eq!(route.kind, CallKind::Stream(StreamRepeats::UntilFirstEvent));
        assert!(route.kind.is_repeatable() && !route.kind.is_resumable());
        assert_eq!(key_owner.unwrap().limits.unwrap().concurrency, 3);
        let whole = chat.replace("true", "false");
        let call = read("POST", "/v1/chat/completions", &whole);
        let (route, _) = config().admit(&call.routing_key, Some("secret")).unwrap();
        assert_eq!(route.kind, CallKind::Safe);
    }

    #[test]
    fn a_chat_keeps_its_conversation_key_as_it_grows() {
        let turn = |more: &str| {
            let body = format!(
                r#"{{"model": "desk", "messages": [{{"role": "user", "content": "One?"}}{more}]}}"#
            );
            read("POST", "/v1/chat/completions", &body)
        };
        let first = turn("");
        let more =
            r#", {"role": "assistant", "content": "Two."}, {"role": "user", "content": "Three?"}"#;
        let later = turn(more);
        assert_eq!(first.conversation, later.conversation);
        // The first part stays the same. The answer counts with its question, as the target has
        // read both.
        let (one, two) = (first.prompt[0], later.prompt[0]);
        assert_eq!(one.id, two.id);
        assert!(two.tokens > one.tokens);
        assert_eq!((first.prompt.len(), later.prompt.len()), (2, 3));
        let named = later.conversation.unwrap();
        let account = |name: &str| name.parse().unwrap();
        assert_ne!(
            named.within(&account("farm")),
            named.within(&account("school"))
        );
    }

    #[test]
    fn what_must_not_be_repeated_is_claimed_and_what_may_be_is_not() {
        let admit = |method: &str, path: &str| {
            let call = read(method, path, "");
            let admitted = config().admit(&call.routing_key, call.key.as_deref());
            admitted.map(|(route, _)| (route.kind, route.claimed, route.timeout.as_millis()))
        };
        let claimed = Ok((CallKind::Unsafe, true, 700));
        let usual = Ok((CallKind::Safe, false, 700));
        assert_eq!(admit("POST", "/services/desk/confirm?lot=1"), claimed);
        assert_eq!(admit("GET", "/services/desk/confirm"), usual);
        assert_eq!(admit("POST", "/services/desk/notice"), usual);
        assert_eq!(admit("GET", "/services/other/x"), Err(Denied::NoRoute));
        assert_eq!(admit("GET", "/elsewhere"), Err(Denied::NoRoute));
    }

    #[test]
    fn a_path_that_looks_like_a_route_of_a_model_reaches_none() {
        for path in [
            "model desk whole",
            "/model desk whole",
            "model%20desk%20whole",
        ] {
            let routing_key = RoutingKey {
                path: path.to_owned(),
                ..RoutingKey::default()
            };
            let is_model = config().route(&routing_key).is_some();
            // Chats look up their route by the first of these paths, which no request line can contain.
            assert_eq!(is_model, path == "model desk whole");
            assert!(!is_model || path.parse::<hyper::Uri>().is_err());
        }
    }
}

/// A configuration that was written after the store was reverted has a lower revision than the one
/// in force.
#[rstest]
#[case::written_after_a_set_back((3, 4), (2, 16), true)]
#[case::from_the_older_copy((1, 3), (2, 16), false)]
#[case::found_in_the_store_again((2, 16), (2, 16), false)]
#[case::written_again((2, 17), (2, 16), true)]
fn the_operators_number_decides_which_configuration_is_newer(
    #[case] (version, revision): (u64, u64),
    #[case] (version_before, revision_before): (u64, u64),
    #[case] is_newer: bool,
) {
    let config = |version, revision| {
        let revision = StoreRevision::first_era(revision);
        ServingConfig::new(revision, ConfigVersion(version), CallerLimits::default())
    };
    let before = config(version_before, revision_before);
    assert_eq!(config(version, revision).is_newer_than(&before), is_newer);
}
