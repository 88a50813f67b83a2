//! Compares route lookup with a linear search, and tests each kind of matcher, rewrite and retry condition by example.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_routing::text::{compile_full_match, HeaderIs, HeaderMatch, QueryMatch, Text, TextMatch};
use rushquay_routing::*;

#[derive(Clone, Default)]
struct TestRequest {
    authority: String,
    path: String,
    query: String,
    headers: Vec<(String, String)>,
}

impl Head for TestRequest {
    fn authority(&self) -> &str {
        &self.authority
    }
    fn path(&self) -> &str {
        &self.path
    }
    fn query(&self) -> &str {
        &self.query
    }
    fn method(&self) -> &str {
        "GET"
    }
    fn header<'a>(&'a self, name: &'a str) -> Box<dyn Iterator<Item = &'a str> + 'a> {
        Box::new(self.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str()))
    }
}

fn request_for(path: &str) -> TestRequest {
    TestRequest { path: path.into(), authority: "x".into(), ..TestRequest::default() }
}

fn forward_to(cluster: &str) -> Action {
    forward(Clusters::One(cluster.into()), None)
}

fn forward(clusters: Clusters, rewrite: Option<Rewrite>) -> Action {
    let (not_found, importance) = (503, RoutePriority::Default);
    Action::Forward { clusters, not_found, rewrite, host: None, timeout: None, retries: None, importance }
}

fn route(path: PathMatch, action: Action) -> Route {
    let matcher = Matcher { path, case_sensitive: true, headers: vec![], query: vec![], fraction: None };
    Route {
        name: String::new(),
        matcher,
        action,
        class: None,
        request: Mutations::default(),
        response: Mutations::default(),
    }
}

fn host(domains: &[&str], routes: Vec<Route>) -> Host {
    let domains: Vec<String> = domains.iter().map(|d| d.to_string()).collect();
    Host {
        name: domains_name(&domains),
        domains,
        routes,
        request: Mutations::default(),
        response: Mutations::default(),
    }
}

fn domains_name(domains: &[String]) -> String {
    domains.join(" ")
}

fn cluster_name(found: Option<Found<'_>>) -> Option<String> {
    match &found?.route.action {
        Action::Forward { clusters: Clusters::One(name), .. } => Some(name.to_string()),
        _ => None,
    }
}

fn path_match() -> impl Strategy<Value = (u8, String, bool)> {
    (0u8..4, "(/[ab]{0,2}){1,3}", any::<bool>())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x70),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The first matching route in configuration order wins, whatever the kinds of the path matchers.
    #[test]
    fn indexed_lookup_agrees_with_linear_search(
        path_matches in prop::collection::vec(path_match(), 0..60),
        paths in prop::collection::vec("(/[abA]{0,3}){1,4}", 1..20),
    ) {
        let routes: Vec<Route> = path_matches.iter().enumerate().map(|(i, (kind, text, case))| {
            let path = match kind {
                0 => PathMatch::Prefix(text.clone()),
                1 => PathMatch::Exact(text.clone()),
                2 => PathMatch::Under(text.trim_end_matches('/').to_owned()),
                _ => PathMatch::Regex(compile_full_match(&format!("{text}[ab]*")).expect("valid expression")),
            };
            let mut route = route(path, forward_to(&i.to_string()));
            route.matcher.case_sensitive = *case;
            route
        }).collect();
        let table = Table::new("t", vec![host(&["*"], routes.clone())]).expect("valid table");
        for path in &paths {
            let expected = routes.iter().position(|r| r.matcher.path_matches(path)).map(|i| i.to_string());
            prop_assert_eq!(cluster_name(table.find(&request_for(path), || 0.0)), expected, "{}", path);
        }
    }
}

#[test]
fn most_specific_domain_wins() {
    let one = |d: &str| host(&[d], vec![route(PathMatch::Prefix("/".into()), forward_to(d))]);
    let domains = ["*", "*.org", "*.a.org", "www.a.org", "www.*", "www.a.*", "b.org:81"];
    let table = Table::new("t", domains.iter().map(|d| one(d)).collect()).expect("valid table");
    for (authority, expected) in [
        ("www.a.org", "www.a.org"),
        ("WWW.A.ORG", "www.a.org"),
        ("x.a.org", "*.a.org"),
        ("b.org", "*.org"),
        ("b.org:81", "b.org:81"),
        ("www.a.com", "www.a.*"),
        ("www.b.com", "www.*"),
        (".a.org", "*.org"),
        ("elsewhere", "*"),
        ("www.a.org:80", "www.a.*"),
    ] {
        let mut head = request_for("/");
        head.authority = authority.into();
        assert_eq!(cluster_name(table.find(&head, || 0.0)).as_deref(), Some(expected), "{authority}");
    }
    let mut head = request_for("/");
    head.authority = "www.a.org:80".into();
    assert_eq!(cluster_name(table.without_ports(true).find(&head, || 0.0)).as_deref(), Some("www.a.org"));
    let duplicate =
        Table::new("t", vec![one("a.org"), one("A.org")]).expect_err("a duplicate domain").to_string();
    assert!(duplicate.starts_with("virtual_hosts[1].domains[0]"), "{duplicate}");
    assert!(Table::new("t", vec![one("a.*.org")]).is_err());
    assert!(cluster_name(
        Table::new("t", vec![one("a.org")]).expect("valid table").find(&request_for("/"), || 0.0)
    )
    .is_none());
}

#[test]
fn header_and_query_parameter_matchers_apply_after_the_path() {
    let header = |is, invert, missing_is_empty| {
        let mut r = route(PathMatch::Prefix("/".into()), forward_to("it"));
        r.matcher.headers = vec![HeaderMatch { name: "x-plant".into(), is, invert, missing_is_empty }];
        Table::new("t", vec![host(&["*"], vec![r])]).expect("valid table")
    };
    let text = |t, ignore_case| HeaderIs::Text(TextMatch::new(t, ignore_case));
    let matches = |table: &Table, values: &[&str]| {
        let mut head = request_for("/");
        head.headers = values.iter().map(|v| ("x-plant".to_owned(), v.to_string())).collect();
        table.find(&head, || 0.0).is_some()
    };
    let exact = header(text(Text::Exact("Surat".into()), false), false, false);
    assert!(matches(&exact, &["Surat"]) && !matches(&exact, &["surat"]) && !matches(&exact, &[]));
    let case_insensitive = header(text(Text::Exact("Surat".into()), true), false, false);
    assert!(matches(&case_insensitive, &["sURAT"]));
    let inverted = header(text(Text::Prefix("su".into()), false), true, false);
    assert!(!matches(&inverted, &["surat"]) && matches(&inverted, &["rajkot"]) && matches(&inverted, &[]));
    let empty = header(text(Text::Exact(String::new()), false), false, true);
    assert!(matches(&empty, &[]) && !matches(&empty, &["x"]));
    let present = header(HeaderIs::Present(true), false, false);
    assert!(matches(&present, &[""]) && !matches(&present, &[]));
    let absent = header(HeaderIs::Present(false), false, true);
    assert!(matches(&absent, &[]) && !matches(&absent, &["x"]));
    let range = header(HeaderIs::Range(-5, 10), false, false);
    assert!(
        matches(&range, &["-5"])
            && matches(&range, &["9"])
            && !matches(&range, &["10"])
            && !matches(&range, &["x"])
    );
    let joined = header(text(Text::Exact("a,b".into()), false), false, false);
    assert!(matches(&joined, &["a", "b"]));
    let expression =
        header(text(Text::Regex(compile_full_match("a|b").expect("valid expression")), false), false, false);
    assert!(
        matches(&expression, &["b"]) && !matches(&expression, &["ab"]),
        "the expression must match the whole value"
    );

    let mut r = route(PathMatch::Prefix("/".into()), forward_to("it"));
    r.matcher.query = vec![
        QueryMatch { name: "zone".into(), is: Some(TextMatch::new(Text::Suffix("ra".into()), false)) },
        QueryMatch { name: "dry".into(), is: None },
    ];
    let table = Table::new("t", vec![host(&["*"], vec![r])]).expect("valid table");
    for (query, expected) in [
        ("zone=vadodara&dry", true),
        ("dry=0&zone=vadodara", true),
        ("zone=surat&dry", false),
        ("zone=vadodara", false),
        ("", false),
    ] {
        let head = TestRequest { query: query.into(), ..request_for("/") };
        assert_eq!(table.find(&head, || 0.0).is_some(), expected, "{query}");
    }
}

#[test]
fn runtime_fraction_matches_its_share_of_requests() {
    let mut trial = route(PathMatch::Prefix("/".into()), forward_to("trial"));
    trial.matcher.fraction = Some(0.25);
    let table = Table::new(
        "t",
        vec![host(&["*"], vec![trial, route(PathMatch::Prefix("/".into()), forward_to("rest"))])],
    )
    .expect("valid table");
    let matching = (0..1000).filter(|i| {
        cluster_name(table.find(&request_for("/"), || f64::from(*i) / 1000.0)).as_deref() == Some("trial")
    });
    assert_eq!(matching.count(), 250);
}

#[test]
fn weighted_and_header_named_clusters_are_picked() {
    let weighted = |name: &str, weight| Weighted {
        cluster: name.into(),
        weight,
        request: Mutations::default(),
        response: Mutations::default(),
        host: None,
    };
    let clusters =
        Clusters::Weighted(vec![weighted("a", 1), weighted("none", 0), weighted("b", u32::MAX - 1)]);
    let head = request_for("/");
    assert_eq!(clusters.pick(&head, 0.0).map(|p| p.0).as_deref(), Some("a"));
    assert_eq!(clusters.pick(&head, 0.5).map(|p| p.0).as_deref(), Some("b"));
    assert_eq!(clusters.pick(&head, 0.999_999_999_999).map(|p| p.0).as_deref(), Some("b"));
    let head = TestRequest { headers: vec![("x-to".into(), "c".into())], ..request_for("/") };
    assert_eq!(
        Clusters::Header("x-to".into()).pick(&head, 0.0).map(|p| p.0.into_owned()).as_deref(),
        Some("c")
    );
    assert!(Clusters::Header("x-to".into()).pick(&request_for("/"), 0.0).is_none());
}

#[test]
fn prefix_and_regex_rewrites_replace_the_matched_part() {
    let prefix =
        |path, to: &str| route(path, forward(Clusters::One("c".into()), Some(Rewrite::Prefix(to.into()))));
    assert_eq!(
        prefix(PathMatch::Prefix("/old".into()), "/new").rewritten("/old/k").as_deref(),
        Some("/new/k")
    );
    assert_eq!(prefix(PathMatch::Exact("/old".into()), "/new").rewritten("/old").as_deref(), Some("/new"));
    let expression = regex::Regex::new("^/plant/([^/]+)/(.*)$").expect("valid expression");
    let swap_segments = Rewrite::Regex(expression, "/${2}/at/${1}".into());
    let swap_segments =
        route(PathMatch::Prefix("/".into()), forward(Clusters::One("c".into()), Some(swap_segments)));
    assert_eq!(swap_segments.rewritten("/plant/7/read").as_deref(), Some("/read/at/7"));
    assert_eq!(swap_segments.rewritten("/else").as_deref(), Some("/else"));
}

#[test]
fn retry_policy_allows_only_its_conditions_and_count() {
    let policy = |on, most| RetryRules { max_retries: most, per_try: 0, conditions: on, codes: vec![418] };
    let all = [
        RetryTrigger::ConnectFailure,
        RetryTrigger::Reset,
        RetryTrigger::TimedOut,
        RetryTrigger::Overloaded,
        RetryTrigger::Status(500),
        RetryTrigger::Status(503),
        RetryTrigger::Status(409),
        RetryTrigger::Status(418),
    ];
    let allowed = |on| all.map(|e| policy(on, 9).allow(1, Some(e)));
    assert_eq!(allowed(RetryRules::CONNECT_FAILURE), [true, false, false, false, false, false, false, false]);
    assert_eq!(allowed(RetryRules::RESET), [true, true, true, false, false, false, false, false]);
    assert_eq!(allowed(RetryRules::ANY_5XX), [true, true, true, true, true, true, false, false]);
    assert_eq!(allowed(RetryRules::GATEWAY_ERROR), [true, true, true, true, false, true, false, false]);
    assert_eq!(
        allowed(RetryRules::RETRIABLE_4XX | RetryRules::CODES),
        [false, false, false, false, false, false, true, true]
    );
    assert_eq!(allowed(0), [false; 8]);
    assert!(
        policy(RetryRules::ANY_5XX, 2).allow(2, Some(RetryTrigger::Reset))
            && !policy(RetryRules::ANY_5XX, 2).allow(3, Some(RetryTrigger::Reset))
    );
    assert!(policy(0, 1).allow(1, None), "a hedged request is not a retry of a failed attempt");
}
