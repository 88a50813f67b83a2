//! Text codec of the simulator's wire protocol. A message is one line; its fields are separated by single
//! spaces, and `-` is an absent value. The simulator defines the names of messages, fields and settings.

use crate::api::*;
use std::fmt::Write as _;
use std::str::FromStr;
use thiserror::Error;

/// Maximum number of classes, and of tenants, in the settings.
const MAX_COUNT: usize = 4096;
/// Flag bits of an arrival.
const FLAG_RETRY: u64 = 2;
const FLAG_WRITE: u64 = 4;

/// A parsed input line.
#[derive(Clone, Debug)]
pub enum Line {
    /// Begins a batch of messages at this time.
    Frame(Nanos),
    /// Ends the batch.
    Go,
    /// Begins an endpoint list; its entries follow.
    Page {
        /// Number of the list, 0 to 15.
        number: usize,
        /// Number of entries that follow.
        count: usize,
    },
    /// One entry of an endpoint list, with the endpoint's name.
    Entry(String, Entry),
    /// Starts a proxy instance.
    New {
        /// Name of the instance.
        instance: String,
        /// Its random seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// Gives an instance an endpoint list that was sent as a page.
    Members {
        /// Name of the instance.
        instance: String,
        /// What the entries contain.
        kind: ListKind,
        /// Number of the page.
        page: usize,
    },
    /// Stops an instance.
    Stop(String),
    /// Any other event of an instance.
    Event(String, Event),
    /// A valid message that no decision depends on.
    Ignored,
}

/// Why a line cannot be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// A field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is not a number.
    #[error("{field} is not a number: {value:?}")]
    NotANumber {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field is not a hexadecimal number.
    #[error("{field} is not hex: {value:?}")]
    NotHex {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field is neither 1, 0 nor `-`.
    #[error("{field} is neither 1 nor 0: {value:?}")]
    NotAFlag {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A field is not a list of numbers separated by commas.
    #[error("{field} is not a comma-separated list of numbers: {value:?}")]
    NotANumberList {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The value of a field, or a message name, is unknown.
    #[error("{field} is unknown: {value:?}")]
    Unknown {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A setting is not of the form `path=value`.
    #[error("setting has no value: {0:?}")]
    SettingWithoutValue(String),
    /// The value of a setting is invalid.
    #[error("{path} has a bad value: {value:?}")]
    BadSetting {
        /// Path of the setting.
        path: String,
        /// Its value.
        value: String,
    },
    /// A count in the settings is too large.
    #[error("{path} is too large: {count}")]
    TooMany {
        /// Path of the setting.
        path: String,
        /// Its value.
        count: usize,
    },
}

type Fields<'a> = std::str::Split<'a, char>;

fn field<'a>(fields: &mut Fields<'a>, name: &'static str) -> Result<&'a str, WireError> {
    match fields.next() {
        Some("") | None => Err(WireError::Missing(name)),
        Some(value) => Ok(value),
    }
}

fn parse_number<T: FromStr>(name: &'static str, value: &str) -> Result<T, WireError> {
    value.parse().map_err(|_| WireError::NotANumber { field: name, value: value.to_owned() })
}

fn number<T: FromStr>(fields: &mut Fields, name: &'static str) -> Result<T, WireError> {
    parse_number(name, field(fields, name)?)
}

fn optional<T: FromStr>(fields: &mut Fields, name: &'static str) -> Result<Option<T>, WireError> {
    match field(fields, name)? {
        "-" => Ok(None),
        value => parse_number(name, value).map(Some),
    }
}

fn flag(fields: &mut Fields, name: &'static str) -> Result<bool, WireError> {
    match field(fields, name)? {
        "1" => Ok(true),
        "0" | "-" => Ok(false),
        value => Err(WireError::NotAFlag { field: name, value: value.to_owned() }),
    }
}

fn duration(fields: &mut Fields, name: &'static str) -> Result<Nanos, WireError> {
    // A duration on the wire is negative if it is already over; it is read as 0.
    Ok(number::<i128>(fields, name)?.clamp(0, i128::from(u64::MAX / 4)) as Nanos)
}

fn unknown_value(name: &'static str, value: &str) -> WireError {
    WireError::Unknown { field: name, value: value.to_owned() }
}

fn status(fields: &mut Fields) -> Result<Status, WireError> {
    Ok(match field(fields, "reason")? {
        "done" => Status::Ok,
        "err" => Status::Error,
        "busy" => Status::Full,
        "etimedout" => Status::Timeout,
        "econnrefused" => Status::ConnectFailed,
        "econnreset" => Status::Reset,
        "ecanceled" => Status::Cancelled,
        "skipped" => Status::Moot,
        "enoent" => Status::Miss,
        value => return Err(unknown_value("reason", value)),
    })
}

/// Validates the syntax of a load report. No decision depends on load reports (docs/design.md).
fn check_load(fields: &mut Fields) -> Result<(), WireError> {
    let values = field(fields, "load")?;
    let is_valid = values == "-" || values.split(',').all(|v| v == "-" || v.parse::<f64>().is_ok());
    is_valid
        .then_some(())
        .ok_or_else(|| WireError::NotANumberList { field: "load", value: values.to_owned() })
}

fn instance(fields: &mut Fields) -> Result<String, WireError> {
    field(fields, "instance").map(str::to_owned)
}

/// Parses one input line, given without its line ending.
pub fn parse(line: &str) -> Result<Line, WireError> {
    let mut fields = line.split(' ');
    let f = &mut fields;
    Ok(match field(f, "message name")? {
        "arrival" => Line::Event(instance(f)?, Event::Arrival(arrival(f)?)),
        "report_back" => Line::Event(instance(f)?, outcome(f)?),
        "tick_due" => Line::Event(instance(f)?, Event::Timer(number(f, "handle")?)),
        "expired" => Line::Event(instance(f)?, Event::ClientGone(number(f, "corr")?)),
        "first" => {
            let event = Line::Event(instance(f)?, Event::StreamStarted(number(f, "corr")?));
            let _ = (number::<u64>(f, "n")?, field(f, "node")?, field(f, "elapsed_ns")?);
            event
        }
        "sampled" => {
            // The decision module sends no probes (docs/design.md); only the syntax of the line is checked.
            let _ = (instance(f)?, field(f, "node")?, status(f)?, duration(f, "elapsed_ns")?);
            check_load(f)?;
            Line::Ignored
        }
        "backends_changed" => members(f)?,
        "entry" => entry(f)?,
        "page" => Line::Page { number: number(f, "buffer")?, count: number(f, "records")? },
        "frame" => Line::Frame(number(f, "clock")?),
        "go" => Line::Go,
        "new_instance" => {
            let instance = instance(f)?;
            let seed = number(f, "salt")?;
            Line::New { instance, seed, settings: Box::new(settings(f)?) }
        }
        "shutdown" => Line::Stop(instance(f)?),
        "peer" => {
            // No decision depends on messages from other proxies (docs/design.md); only the syntax is
            // checked.
            let _ = (instance(f)?, number::<u64>(f, "author")?, field(f, "msg")?);
            Line::Ignored
        }
        value => return Err(unknown_value("message", value)),
    })
}

fn arrival(fields: &mut Fields) -> Result<Request, WireError> {
    let mut request = Request {
        id: number(fields, "corr")?,
        class: number(fields, "grade")?,
        tenant: optional(fields, "user_group")?,
        ..Request::default()
    };
    let key = field(fields, "path_key")?;
    if key != "-" {
        let parsed = u64::from_str_radix(key, 16);
        let not_hex = |_| WireError::NotHex { field: "path_key", value: key.to_owned() };
        request.key = Some(parsed.map_err(not_hex)?);
    }
    request.remaining = duration(fields, "remaining_ns")?;
    let _estimate: Option<Nanos> = optional(fields, "estimate_ns")?;
    let _size: Option<f64> = optional(fields, "object_size")?;
    let flags: u64 = optional(fields, "flags")?.unwrap_or(0);
    request.is_write = flags & FLAG_WRITE != 0;
    request.is_marked_retry = flags & FLAG_RETRY != 0;
    Ok(request)
}

fn outcome(fields: &mut Fields) -> Result<Event, WireError> {
    let event = Event::Outcome {
        id: number(fields, "corr")?,
        attempt: number(fields, "n")?,
        server: server_id(field(fields, "node")?),
        status: status(fields)?,
        elapsed: duration(fields, "elapsed_ns")?,
        last: flag(fields, "final")?,
        hit: optional::<u32>(fields, "note")?.filter(|note| *note > 0).map(|note| note == 1),
    };
    check_load(fields)?;
    Ok(event)
}

fn members(fields: &mut Fields) -> Result<Line, WireError> {
    let instance = instance(fields)?;
    let kind = match field(fields, "scope")? {
        "D" => ListKind::Delta,
        "F" => ListKind::Full,
        "C" => ListKind::Cached,
        "X" => ListKind::Failed,
        value => return Err(unknown_value("scope", value)),
    };
    let _version = field(fields, "index")?;
    let page = match fields.next() {
        Some(value) if kind != ListKind::Failed => parse_number("buffer", value)?,
        None if kind != ListKind::Failed => return Err(WireError::Missing("buffer")),
        _ => 0,
    };
    Ok(Line::Members { instance, kind, page })
}

fn entry(fields: &mut Fields) -> Result<Line, WireError> {
    let name = field(fields, "node")?.to_owned();
    let entry = Entry {
        server: server_id(&name),
        zone: optional(fields, "failure_domain")?.unwrap_or(0),
        kind: optional(fields, "generation_hw")?.unwrap_or(0),
        cell: optional(fields, "cluster")?.unwrap_or(0),
        state: match field(fields, "state")? {
            "IN" => State::Ready,
            "LAME" => State::Draining,
            "OUT" => State::Gone,
            value => return Err(unknown_value("state", value)),
        },
        weight: optional(fields, "share")?.unwrap_or(1.0),
        started_at: optional(fields, "launched_ns")?.unwrap_or(0),
        incarnation: None,
    };
    Ok(Line::Entry(name, entry))
}

fn invalid_setting(path: &str, value: &str) -> WireError {
    WireError::BadSetting { path: path.to_owned(), value: value.to_owned() }
}

fn set<T: FromStr>(target: &mut T, path: &str, value: &str) -> Result<(), WireError> {
    *target = value.parse().map_err(|_| invalid_setting(path, value))?;
    Ok(())
}

/// Sets a finite amount that must not be negative, since a negative share would invert a comparison.
fn set_amount(target: &mut f64, path: &str, value: &str) -> Result<(), WireError> {
    let amount = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
    *target = amount.ok_or_else(|| invalid_setting(path, value))?;
    Ok(())
}

/// Parses a list of whole numbers separated by commas; an empty string is an empty list.
fn numbers(path: &str, value: &str) -> Result<Vec<u32>, WireError> {
    let numbers = value.split(',').filter(|v| !v.is_empty()).map(str::parse);
    numbers.collect::<Result<_, _>>().map_err(|_| invalid_setting(path, value))
}

fn count(path: &str, value: &str) -> Result<usize, WireError> {
    let mut count = 0;
    set(&mut count, path, value)?;
    if count > MAX_COUNT {
        return Err(WireError::TooMany { path: path.to_owned(), count });
    }
    Ok(count)
}

/// Reads settings from `path=value` pairs; unknown paths are ignored.
pub fn settings<'a>(pairs: impl IntoIterator<Item = &'a str>) -> Result<Settings, WireError> {
    let mut settings = Settings::default();
    let mut origin_kind = -1i64;
    for pair in pairs {
        let Some((path, value)) = pair.split_once('=') else {
            return Err(WireError::SettingWithoutValue(pair.to_owned()));
        };
        let mut segments = path.splitn(3, '.');
        match (segments.next().unwrap_or(""), segments.next().unwrap_or(""), segments.next()) {
            ("categories", "count", None) => {
                settings.classes.resize(count(path, value)?, Class::default());
            }
            ("customers", "count", None) => settings.tenants.resize(count(path, value)?, Tenant::default()),
            ("categories", index, Some(name)) => {
                let class = index.parse::<usize>().ok().and_then(|i| settings.classes.get_mut(i));
                if let Some(class) = class {
                    set_class(class, name, path, value)?;
                }
            }
            ("customers", index, Some("quota_rps")) => {
                let tenant = index.parse::<usize>().ok().and_then(|i| settings.tenants.get_mut(i));
                if let Some(tenant) = tenant {
                    set_amount(&mut tenant.quota_rps, path, value)?;
                }
            }
            _ if path == "family_info.origin_kind" => set(&mut origin_kind, path, value)?,
            _ => set_global(&mut settings, path, value)?,
        }
    }
    settings.origin_kind = u32::try_from(origin_kind).ok();
    Ok(settings)
}

/// Sets a field of a class.
fn set_class(class: &mut Class, name: &str, path: &str, value: &str) -> Result<(), WireError> {
    match name {
        "promise_ns" => set(&mut class.latency_objective, path, value)?,
        "deadline_ns" => set(&mut class.deadline, path, value)?,
        "dedup_window_ns" => set(&mut class.dedup_window, path, value)?,
        "late_value" => set_amount(&mut class.late_value, path, value)?,
        "value" => set_amount(&mut class.worth, path, value)?,
        "allowed_in" => class.zones = Some(numbers(path, value)?),
        "allowed_on" => class.kinds = Some(numbers(path, value)?),
        "stream" => set(&mut class.is_streamed, path, value)?,
        "effect" => {
            class.effect = match value {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed,
                // Unknown values, of a later version, get the strictest meaning.
                _ => Effect::Unsafe,
            }
        }
        "group" => {
            class.group = match value {
                "all" => Group::All,
                "zone" => Group::Zone,
                _ => Group::Cell,
            }
        }
        _ => {}
    }
    Ok(())
}

/// Sets a field that belongs to no class or tenant.
fn set_global(settings: &mut Settings, path: &str, value: &str) -> Result<(), WireError> {
    match path {
        "zone" => set(&mut settings.zone, path, value),
        "n_instances" => set(&mut settings.proxies, path, value),
        "self_index" => set(&mut settings.proxy_index, path, value),
        "over_share_worth" => set_amount(&mut settings.over_share_worth, path, value),
        "caps.attempts_cap" => set(&mut settings.max_attempts, path, value),
        "caps.cancelling" => set(&mut settings.allows_cancel, path, value),
        "caps.second_copies" => set(&mut settings.allows_hedging, path, value),
        "caps.max_retry_after_ns" => set(&mut settings.max_retry_after, path, value),
        "caps.conn_idle_ns" => set(&mut settings.conn_idle, path, value),
        "deductions.handshake" => set_amount(&mut settings.handshake_price, path, value),
        "deductions.cross_zone" => set_amount(&mut settings.cross_zone_price, path, value),
        "client_habits.marks_retry" => set(&mut settings.marks_retry, path, value),
        "rules.cold_from" => set_amount(&mut settings.initial_capacity_fraction, path, value),
        "rules.cold_ns" => set(&mut settings.warm_up_time, path, value),
        "rules.fall_multiple" => set_amount(&mut settings.overload_multiple, path, value),
        "rules.fall_ns" => set(&mut settings.overload_window, path, value),
        "rules.let_go_in_ns" => set(&mut settings.idle_close_limit, path, value),
        "rules.must_ask_in_ns" => set(&mut settings.max_subscribe_delay, path, value),
        _ => {
            match path {
                "discovery" => settings.must_subscribe = value == "subscribe",
                "family_info.mode" => settings.is_cache_aside = value == "aside",
                "worth_by" => settings.value_is_per_work_unit = value == "work",
                _ => {}
            }
            Ok(())
        }
    }
}

/// Appends one action of an instance to a reply; `name` gives the wire name of an endpoint.
pub fn write(out: &mut String, instance: &str, action: &Action, name: impl Fn(ServerId) -> Option<String>) {
    let name_of = |server: &ServerId| name(*server).unwrap_or_default();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, server, timeout } => {
            writeln!(out, "deliver {instance} {id} {} {timeout}", name_of(server))
        }
        Action::Cancel { id, attempt } => writeln!(out, "abandon {instance} {id} {attempt}"),
        Action::Reject { id, retry_after } => writeln!(out, "bounce {instance} {id} {retry_after}"),
        Action::Fail { id } => writeln!(out, "abort {instance} {id}"),
        Action::Timer { token, delay } => writeln!(out, "arm {instance} {token} {delay}"),
        Action::Close(server) => writeln!(out, "close {instance} {}", name_of(server)),
        Action::Subscribe => writeln!(out, "stream_changes {instance} 1"),
    };
}
