//! Parses `RouteConfiguration`.

use crate::common::{nanos, ProjectMetadata};
use crate::endpoints::fraction_value;
use crate::pb::envoy::config::core::v3::{
    data_source::Specifier as Data, header_value_option::HeaderAppendAction, DataSource, HeaderValueOption,
    RoutingPriority,
};
use crate::pb::envoy::config::route::v3::{
    header_matcher::HeaderMatchSpecifier,
    query_parameter_matcher::QueryParameterMatchSpecifier,
    route::Action as ProtoAction,
    route_action::{ClusterNotFoundResponseCode, ClusterSpecifier},
    route_match::PathSpecifier,
    weighted_cluster::ClusterWeight,
    HeaderMatcher, QueryParameterMatcher, RetryPolicy, Route as ProtoRoute, RouteAction, RouteConfiguration,
    RouteMatch, VirtualHost,
};
use crate::pb::envoy::r#type::matcher::v3::{
    string_matcher::MatchPattern, RegexMatchAndSubstitute, RegexMatcher, StringMatcher,
};
use crate::wire::Refused;
use regex::Regex;
use rushquay_routing::text::{compile_full_match, HeaderIs, HeaderMatch, QueryMatch, Text, TextMatch};
use rushquay_routing::{
    Action, Append, Change, Clusters, Direct, Host, Matcher, Mutations, PathMatch, RetryRules, Rewrite,
    Route, RoutePriority, Table, Weighted,
};

/// Headers that no route may change: a request's sender, its identity and the framing of its body depend on them.
const PROTECTED_HEADERS: [&str; 9] = [
    "host",
    "x-correlation-id",
    "idempotency-key",
    "x-time-left",
    "x-repeat",
    "x-account",
    "content-length",
    "transfer-encoding",
    "connection",
];

type Read<T> = Result<T, Refused>;

/// Parses each item of a list and adds its index to the path of an error.
fn read_list<'a, T, U>(name: &str, list: &'a [T], read: impl Fn(&'a T) -> Read<U>) -> Read<Vec<U>> {
    let one = |(i, t)| read(t).map_err(|r: Refused| r.below(format!("{name}[{i}]")));
    list.iter().enumerate().map(one).collect()
}

/// Parses a route table; `without_ports`: the listener strips the port from authorities.
pub fn table(proto: &RouteConfiguration, without_ports: bool) -> Read<Table> {
    let hosts = read_list("virtual_hosts", &proto.virtual_hosts, host)?;
    let request = mutations("request", &proto.request_headers_to_add, &proto.request_headers_to_remove)?;
    let response = mutations("response", &proto.response_headers_to_add, &proto.response_headers_to_remove)?;
    let table = Table::new(&proto.name, hosts).map_err(|e| Refused::at("", e.to_string()))?;
    let table = table.with_headers(request, response, proto.most_specific_header_mutations_wins);
    Ok(table.without_ports(proto.ignore_port_in_host_matching || without_ports))
}

fn host(proto: &VirtualHost) -> Read<Host> {
    if proto.domains.is_empty() {
        return Err(Refused::at("domains", "expected one at least"));
    }
    let host_default =
        proto.retry_policy.as_ref().map(|p| retries(p).map_err(|r| r.below("retry_policy"))).transpose()?;
    Ok(Host {
        name: proto.name.clone(),
        domains: proto.domains.clone(),
        routes: read_list("routes", &proto.routes, |r| route(r, host_default.as_ref()))?,
        request: mutations("request", &proto.request_headers_to_add, &proto.request_headers_to_remove)?,
        response: mutations("response", &proto.response_headers_to_add, &proto.response_headers_to_remove)?,
    })
}

fn route(proto: &ProtoRoute, host_default: Option<&RetryRules>) -> Read<Route> {
    let metadata = ProjectMetadata::parse(proto.metadata.as_ref(), &["class"])?;
    let matcher = proto.r#match.as_ref().ok_or_else(|| Refused::at("match", "missing"))?;
    let matcher = matcher_of(matcher).map_err(|r| r.below("match"))?;
    let action = match &proto.action {
        Some(ProtoAction::Route(action)) => {
            forward_action(action, host_default).map_err(|r| r.below("route"))?
        }
        Some(ProtoAction::DirectResponse(direct)) => {
            let status = u16::try_from(direct.status).ok().filter(|s| (200..600).contains(s));
            let status =
                status.ok_or_else(|| Refused::at("direct_response.status", "expected 200 to 599"))?;
            let body = direct.body.as_ref().map_or(Ok(Vec::new()), body)?;
            Action::Direct(Direct { status, body })
        }
        _ => return Err(Refused::at("action", "expected route or direct_response")),
    };
    if let (PathMatch::Regex(_), Action::Forward { rewrite: Some(Rewrite::Prefix(_)), .. }) =
        (&matcher.path, &action)
    {
        return Err(Refused::at("route.prefix_rewrite", "the match has no prefix; give regex_rewrite"));
    }
    Ok(Route {
        name: proto.name.clone(),
        matcher,
        action,
        class: metadata.text("class")?.map(str::to_owned),
        request: mutations("request", &proto.request_headers_to_add, &proto.request_headers_to_remove)?,
        response: mutations("response", &proto.response_headers_to_add, &proto.response_headers_to_remove)?,
    })
}

fn body(proto: &DataSource) -> Read<Vec<u8>> {
    match &proto.specifier {
        Some(Data::InlineString(text)) => Ok(text.clone().into_bytes()),
        Some(Data::InlineBytes(bytes)) => Ok(bytes.clone()),
        None => Ok(Vec::new()),
        Some(_) => Err(Refused::at("direct_response.body", "expected inline_string or inline_bytes")),
    }
}

fn regex(proto: &RegexMatcher) -> Read<Regex> {
    compile_full_match(&proto.regex).map_err(|why| Refused::at("regex", format!("{:?}: {why}", proto.regex)))
}

fn matcher_of(proto: &RouteMatch) -> Read<Matcher> {
    let path = match &proto.path_specifier {
        Some(PathSpecifier::Prefix(p)) => PathMatch::Prefix(p.clone()),
        Some(PathSpecifier::Path(p)) => PathMatch::Exact(p.clone()),
        Some(PathSpecifier::SafeRegex(r)) => PathMatch::Regex(regex(r).map_err(|r| r.below("safe_regex"))?),
        Some(PathSpecifier::PathSeparatedPrefix(p))
            if p.starts_with('/') && !p.ends_with('/') && !p.contains(['?', '#']) =>
        {
            PathMatch::Under(p.clone())
        }
        Some(PathSpecifier::PathSeparatedPrefix(_)) => {
            return Err(Refused::at(
                "path_separated_prefix",
                "expected / at the start, none at the end, no ? or #",
            ));
        }
        _ => return Err(Refused::at("", "expected prefix, path, safe_regex or path_separated_prefix")),
    };
    let fraction = proto.runtime_fraction.as_ref().and_then(|f| f.default_value.as_ref());
    Ok(Matcher {
        path,
        case_sensitive: proto.case_sensitive.as_ref().is_none_or(|c| c.value),
        headers: read_list("headers", &proto.headers, header)?,
        query: read_list("query_parameters", &proto.query_parameters, query)?,
        fraction: fraction.map(|f| fraction_value("runtime_fraction.default_value", f)).transpose()?,
    })
}

fn text_match(proto: &StringMatcher) -> Read<TextMatch> {
    let text = match &proto.match_pattern {
        Some(MatchPattern::Exact(t)) => Text::Exact(t.clone()),
        Some(MatchPattern::Prefix(t)) => Text::Prefix(t.clone()),
        Some(MatchPattern::Suffix(t)) => Text::Suffix(t.clone()),
        Some(MatchPattern::Contains(t)) => Text::Contains(t.clone()),
        Some(MatchPattern::SafeRegex(r)) => Text::Regex(regex(r).map_err(|r| r.below("safe_regex"))?),
        _ => {
            return Err(Refused::at("string_match", "expected exact, prefix, suffix, contains or safe_regex"))
        }
    };
    Ok(TextMatch::new(text, proto.ignore_case))
}

fn header(proto: &HeaderMatcher) -> Read<HeaderMatch> {
    if proto.name.is_empty() {
        return Err(Refused::at("name", "empty"));
    }
    let text = |t| HeaderIs::Text(TextMatch::new(t, false));
    let is = match &proto.header_match_specifier {
        None => HeaderIs::Present(true),
        Some(HeaderMatchSpecifier::PresentMatch(there)) => HeaderIs::Present(*there),
        Some(HeaderMatchSpecifier::RangeMatch(range)) => HeaderIs::Range(range.start, range.end),
        Some(HeaderMatchSpecifier::StringMatch(m)) => HeaderIs::Text(text_match(m)?),
        Some(HeaderMatchSpecifier::ExactMatch(t)) => text(Text::Exact(t.clone())),
        Some(HeaderMatchSpecifier::PrefixMatch(t)) => text(Text::Prefix(t.clone())),
        Some(HeaderMatchSpecifier::SuffixMatch(t)) => text(Text::Suffix(t.clone())),
        Some(HeaderMatchSpecifier::ContainsMatch(t)) => text(Text::Contains(t.clone())),
        Some(HeaderMatchSpecifier::SafeRegexMatch(r)) => {
            text(Text::Regex(regex(r).map_err(|r| r.below("safe_regex_match"))?))
        }
    };
    let (invert, missing_is_empty) = (proto.invert_match, proto.treat_missing_header_as_empty);
    Ok(HeaderMatch { name: proto.name.to_ascii_lowercase(), is, invert, missing_is_empty })
}

fn query(proto: &QueryParameterMatcher) -> Read<QueryMatch> {
    let is = match &proto.query_parameter_match_specifier {
        None | Some(QueryParameterMatchSpecifier::PresentMatch(true)) => None,
        Some(QueryParameterMatchSpecifier::PresentMatch(false)) => {
            return Err(Refused::at("present_match", "false is not obeyed here"));
        }
        Some(QueryParameterMatchSpecifier::StringMatch(m)) => Some(text_match(m)?),
    };
    Ok(QueryMatch { name: proto.name.clone(), is })
}

fn forward_action(proto: &RouteAction, host_default: Option<&RetryRules>) -> Read<Action> {
    use crate::pb::envoy::config::route::v3::route_action::HostRewriteSpecifier;
    let clusters = match &proto.cluster_specifier {
        Some(ClusterSpecifier::Cluster(name)) if !name.is_empty() => Clusters::One(name.as_str().into()),
        Some(ClusterSpecifier::ClusterHeader(name)) if !name.is_empty() && !name.starts_with(':') => {
            Clusters::Header(name.to_ascii_lowercase())
        }
        Some(ClusterSpecifier::WeightedClusters(w)) => {
            let parts = read_list("weighted_clusters.clusters", &w.clusters, weighted)?;
            let sum: u64 = parts.iter().map(|p| u64::from(p.weight)).sum();
            if sum == 0 || sum > u64::from(u32::MAX) {
                return Err(Refused::at(
                    "weighted_clusters.clusters",
                    "expected weights of 1 to 2^32-1 together",
                ));
            }
            if w.total_weight.as_ref().is_some_and(|t| t.value > 0 && u64::from(t.value) != sum) {
                return Err(Refused::at("weighted_clusters.total_weight", "not the sum of the weights"));
            }
            Clusters::Weighted(parts)
        }
        _ => return Err(Refused::at("cluster", "expected cluster, cluster_header or weighted_clusters")),
    };
    let not_found = match ClusterNotFoundResponseCode::try_from(proto.cluster_not_found_response_code) {
        Ok(ClusterNotFoundResponseCode::NotFound) => 404,
        Ok(ClusterNotFoundResponseCode::InternalServerError) => 500,
        _ => 503,
    };
    let rewrite = match (&proto.prefix_rewrite, &proto.regex_rewrite) {
        (prefix, None) if prefix.is_empty() => None,
        (prefix, None) => Some(Rewrite::Prefix(prefix.clone())),
        (prefix, Some(r)) if prefix.is_empty() => {
            Some(substitution(r).map_err(|r| r.below("regex_rewrite"))?)
        }
        _ => return Err(Refused::at("regex_rewrite", "stands beside prefix_rewrite; give one of the two")),
    };
    let host = match &proto.host_rewrite_specifier {
        Some(HostRewriteSpecifier::HostRewriteLiteral(host)) => {
            Some(header_value("host_rewrite_literal", host)?)
        }
        _ => None,
    };
    // Envoy's default is 15 s; 0 disables the timeout.
    let timeout = proto.timeout.as_ref().map_or(Ok(15_000_000_000), |d| nanos("timeout", d))?;
    let importance = match RoutingPriority::try_from(proto.priority) {
        Ok(RoutingPriority::High) => RoutePriority::High,
        _ => RoutePriority::Default,
    };
    let own =
        proto.retry_policy.as_ref().map(|p| retries(p).map_err(|r| r.below("retry_policy"))).transpose()?;
    Ok(Action::Forward {
        clusters,
        not_found,
        rewrite,
        host,
        timeout: (timeout > 0).then_some(timeout),
        retries: own.or_else(|| host_default.cloned()),
        importance,
    })
}

fn weighted(proto: &ClusterWeight) -> Read<Weighted> {
    use crate::pb::envoy::config::route::v3::weighted_cluster::cluster_weight::HostRewriteSpecifier;
    if proto.name.is_empty() {
        return Err(Refused::at("name", "empty"));
    }
    let host = match &proto.host_rewrite_specifier {
        Some(HostRewriteSpecifier::HostRewriteLiteral(host)) => {
            Some(header_value("host_rewrite_literal", host)?)
        }
        None => None,
    };
    Ok(Weighted {
        cluster: proto.name.as_str().into(),
        weight: proto.weight.as_ref().map_or(0, |w| w.value),
        request: mutations("request", &proto.request_headers_to_add, &proto.request_headers_to_remove)?,
        response: mutations("response", &proto.response_headers_to_add, &proto.response_headers_to_remove)?,
        host,
    })
}

/// Converts an RE2 substitution for the `regex` crate: `\1` becomes `${1}`, and `$` is escaped as `$$`.
fn substitution(proto: &RegexMatchAndSubstitute) -> Read<Rewrite> {
    let pattern = proto.pattern.as_ref().ok_or_else(|| Refused::at("pattern", "missing"))?;
    let compiled = regex::RegexBuilder::new(&pattern.regex).size_limit(1 << 20).build();
    let compiled = compiled.map_err(|e| Refused::at("pattern.regex", format!("{:?}: {e}", pattern.regex)))?;
    let mut to = String::new();
    let mut left = proto.substitution.chars();
    while let Some(c) = left.next() {
        match c {
            '$' => to.push_str("$$"),
            '\\' => match left.next() {
                Some(d) if d.is_ascii_digit() && (d as usize - '0' as usize) < compiled.captures_len() => {
                    to.push_str(&format!("${{{d}}}"));
                }
                Some('\\') => to.push('\\'),
                _ => return Err(Refused::at("substitution", "expected \\ with the number of a group")),
            },
            c => to.push(c),
        }
    }
    Ok(Rewrite::Regex(compiled, to))
}

fn retries(proto: &RetryPolicy) -> Read<RetryRules> {
    let mut on = 0;
    for name in proto.retry_on.split(',').map(str::trim).filter(|n| !n.is_empty()) {
        let bit = RetryRules::condition(name);
        on |= bit.ok_or_else(|| Refused::at("retry_on", format!("{name:?} is not known here")))?;
    }
    let code = |c: &u32| u16::try_from(*c).map_err(|_| Refused::at("retriable_status_codes", format!("{c}")));
    Ok(RetryRules {
        max_retries: proto.num_retries.as_ref().map_or(1, |n| n.value),
        per_try: proto.per_try_timeout.as_ref().map_or(Ok(0), |d| nanos("per_try_timeout", d))?,
        conditions: on,
        codes: proto.retriable_status_codes.iter().map(code).collect::<Read<_>>()?,
    })
}

/// A literal header value. Danger: `%...%` is a command that Envoy substitutes, which is not supported here.
fn header_value(path: &str, proto: &str) -> Read<String> {
    let plain = proto.replace("%%", "");
    if plain.contains('%') {
        return Err(Refused::at(
            path,
            "holds a command (%...%), which is not filled in here; %% stands for %",
        ));
    }
    if proto.bytes().any(|b| b < b' ' && b != b'\t' || b == 0x7f) {
        return Err(Refused::at(path, "holds a byte that no header may"));
    }
    Ok(proto.replace("%%", "%"))
}

fn header_name(path: &str, proto: &str) -> Read<String> {
    let name = proto.to_ascii_lowercase();
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    if name.is_empty() || !name.bytes().all(token) {
        return Err(Refused::at(path, format!("{proto:?} is no header's name")));
    }
    if PROTECTED_HEADERS.contains(&name.as_str()) {
        return Err(Refused::at(
            path,
            format!("{name} may not be changed: the rules on requests rest on it"),
        ));
    }
    Ok(name)
}

fn mutations(side: &str, add: &[HeaderValueOption], remove: &[String]) -> Read<Mutations> {
    let list = format!("{side}_headers_to_add");
    let change = |proto: &HeaderValueOption| {
        let header = proto.header.as_ref().ok_or_else(|| Refused::at("header", "missing"))?;
        let append = match HeaderAppendAction::try_from(proto.append_action) {
            // The deprecated `append` flag: false means overwrite.
            Ok(HeaderAppendAction::AppendIfExistsOrAdd) => {
                match proto.append.as_ref().is_none_or(|a| a.value) {
                    true => Append::Add,
                    false => Append::Overwrite,
                }
            }
            Ok(HeaderAppendAction::AddIfAbsent) => Append::IfAbsent,
            Ok(HeaderAppendAction::OverwriteIfExistsOrAdd) => Append::Overwrite,
            Ok(HeaderAppendAction::OverwriteIfExists) => Append::OverwriteOnly,
            Err(_) => return Err(Refused::at("append_action", "not known here")),
        };
        let change = Change {
            name: header_name("header.key", &header.key)?,
            value: header_value("header.value", &header.value)?,
            append,
        };
        Ok((!change.value.is_empty() || proto.keep_empty_value).then_some(change))
    };
    let set = read_list(&list, add, change)?.into_iter().flatten().collect();
    let remove = read_list(&format!("{side}_headers_to_remove"), remove, |n| header_name("", n))?;
    Ok(Mutations { set, remove })
}
