//! `rushquay override`: operators' overrides, over the control service's admin address.

use super::admin_client::{AdminClient, AdminResponse};
use super::output::{aligned, heading, print_answer, text, time, Render};
use super::{Failure, NOT_KEPT};
use clap::{Args, Subcommand};
use jiff::{Timestamp, Zoned};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Args)]
pub struct OverrideArgs {
    /// The control service's admin address.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:18001", global = true)]
    admin: SocketAddr,
    /// Print the response of the service as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: OverrideCommand,
}

#[derive(Subcommand)]
enum OverrideCommand {
    /// Sets an override.
    Set(Box<SetArgs>),
    /// Lists the active overrides, and which one masks which.
    List,
    /// Lifts an override before it expires.
    Lift {
        /// The number of the override.
        id: u64,
        /// The author of the command.
        #[arg(long, env = "USER")]
        author: String,
    },
    /// Shows the history, newest first.
    History {
        /// The maximum number of events.
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
}

#[derive(Args)]
#[group(skip)]
struct SetArgs {
    #[command(flatten)]
    on: On,
    #[command(flatten)]
    what: What,
    #[command(flatten)]
    end: End,
    /// The author of the override.
    #[arg(long, env = "USER")]
    author: String,
    /// The reason.
    #[arg(long)]
    reason: String,
    /// Set it even if too few nodes would stay in service, or the node is unknown.
    #[arg(long)]
    force: bool,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct On {
    /// Apply to one node, by its id.
    #[arg(long, value_name = "ID")]
    node: Option<String>,
    /// Apply to a machine kind.
    #[arg(long, value_name = "KIND")]
    kind: Option<String>,
    /// Apply to a data centre.
    #[arg(long, value_name = "ZONE")]
    zone: Option<String>,
    /// Apply to all nodes.
    #[arg(long)]
    all: bool,
}

#[derive(Args)]
#[group(required = true, multiple = true)]
struct What {
    /// Take out of service: no new requests are sent there.
    #[arg(long, conflicts_with_all = ["weight", "pin_keys", "pin_class"])]
    out: bool,
    /// Multiply the weight by this factor.
    #[arg(long, value_name = "FACTOR", conflicts_with_all = ["pin_keys", "pin_class"])]
    weight: Option<f64>,
    /// Pin these keys to the node: a single key, or a prefix that ends in *.
    #[arg(long, value_name = "KEYS")]
    pin_keys: Option<String>,
    /// Pin a class of requests to the node; with --pin-keys only those keys of the class.
    #[arg(long, value_name = "CLASS")]
    pin_class: Option<String>,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct End {
    /// How long it applies: 90m, 2h, 1h 30m.
    #[arg(long = "for", value_name = "SPAN")]
    span: Option<String>,
    /// When it ends: 07:30 (the next one in local time), or 2026-12-01T07:30:00+05:30.
    #[arg(long, value_name = "TIME")]
    until: Option<String>,
}

impl End {
    /// The end as Unix time in nanoseconds.
    fn at(&self, now: &Zoned) -> Result<u64, String> {
        let nanos =
            |t: Timestamp| u64::try_from(t.as_nanosecond()).map_err(|_| "lies before 1970".to_owned());
        if let Some(span) = &self.span {
            let span = humantime::parse_duration(span)
                .map_err(|e| format!("--for {span}: {e}; such as 2h or 90m"))?;
            return Ok(nanos(now.timestamp())?.saturating_add(span.as_nanos() as u64));
        }
        let input = self.until.as_deref().unwrap_or("");
        if let Ok(time) = input.parse::<jiff::civil::Time>() {
            let today = now.date().to_datetime(time).to_zoned(now.time_zone().clone());
            let mut at = today.map_err(|e| format!("--until {input}: {e}"))?;
            if at <= *now {
                let tomorrow = now.date().tomorrow().map_err(|e| e.to_string())?;
                at = tomorrow
                    .to_datetime(time)
                    .to_zoned(now.time_zone().clone())
                    .map_err(|e| e.to_string())?;
            }
            return nanos(at.timestamp());
        }
        let at: Timestamp = input.parse().map_err(|_| {
            format!("--until {input}: expected a time such as 07:30 or 2026-12-01T07:30:00+05:30")
        })?;
        nanos(at)
    }
}

const OVERRIDES: &str = "/v1/overrides";

impl On {
    /// The scope in the JSON format of the control service.
    fn scope(self) -> Value {
        match (self.node, self.kind, self.zone) {
            (Some(id), ..) => json!({"node": id}),
            (_, Some(kind), _) => json!({"kind": kind}),
            (.., Some(zone)) => json!({"zone": zone}),
            _ => json!("all"),
        }
    }
}

impl What {
    /// The effect in the JSON format of the control service.
    fn effect(self) -> Value {
        match self {
            What { out: true, .. } => json!("out"),
            What { weight: Some(factor), .. } => json!({"weight": factor}),
            What { pin_class, pin_keys, .. } => {
                let mut pinned = serde_json::Map::new();
                pinned.extend(pin_class.map(|class| ("class".to_owned(), json!(class))));
                pinned.extend(pin_keys.map(|keys| ("keys".to_owned(), json!(keys))));
                json!({"pinned": pinned})
            }
        }
    }
}

impl SetArgs {
    /// The request in the JSON format of the control service.
    fn request(self) -> Result<Value, String> {
        let until = self.end.at(&Zoned::now())?;
        Ok(json!({"scope": self.on.scope(), "effect": self.what.effect(), "until": until,
                  "author": self.author, "reason": self.reason, "force": self.force}))
    }
}

/// Runs the command.
pub async fn run(args: OverrideArgs) -> Result<(), Failure> {
    let client = AdminClient::new(args.admin);
    let (response, render): (AdminResponse, Render) = match args.command {
        OverrideCommand::List => (client.get(OVERRIDES).await?, live_table),
        OverrideCommand::History { limit } => {
            (client.get(&format!("{OVERRIDES}/history?limit={limit}")).await?, history_table)
        }
        OverrideCommand::Set(set) => {
            let request = set.request()?;
            // The change is made on the revision that is read here.
            let etag = client.get(OVERRIDES).await?.etag;
            (client.post(OVERRIDES, etag, request).await?, render_change)
        }
        OverrideCommand::Lift { id, author } => {
            let etag = client.get(OVERRIDES).await?.etag;
            let path = format!("{OVERRIDES}/{id}?by={}", percent_encoded(&author));
            (client.delete(&path, etag).await?, render_change)
        }
    };
    print_answer(&response.body, args.json, render);
    persisted(&response.body)
}

/// Percent-encodes a value of a query (RFC 3986, 2.1).
fn percent_encoded(text: &str) -> String {
    let encoded = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => (byte as char).to_string(),
        other => format!("%{other:02X}"),
    };
    text.bytes().map(encoded).collect()
}

/// Fails if the control service has a store and the change was not persisted.
fn persisted(answer: &Value) -> Result<(), Failure> {
    match answer["why"].as_str().filter(|why| !why.starts_with("no --state")) {
        None => Ok(()),
        Some(why) => {
            let text = format!("it holds, in memory alone until it can be kept: {why}");
            Err(Failure { text, status: NOT_KEPT })
        }
    }
}

fn scope(scope: &Value) -> String {
    match scope.as_object().and_then(|o| o.iter().next()) {
        Some((what, name)) => format!("{what} {}", name.as_str().unwrap_or("")),
        None => "all".into(),
    }
}

fn effect(effect: &Value) -> String {
    if let Some(pinned) = effect["pinned"].as_object() {
        let parts = pinned.iter().map(|(what, name)| format!(" {what} {}", name.as_str().unwrap_or("")));
        return "pinned".to_owned() + &parts.collect::<String>();
    }
    effect["weight"].as_f64().map_or_else(|| "out".into(), |factor| format!("weight x {factor}"))
}

fn live_table(answer: &Value) -> String {
    let mut rows = heading(["ID", "ON", "WHAT", "UNTIL", "LEFT", "BY", "STANDS", "REASON"]);
    for o in answer["overrides"].as_array().into_iter().flatten() {
        let left = Duration::from_secs(o["expires_in_s"].as_f64().unwrap_or(0.0) as u64);
        let (nodes, masked) = (o["nodes"].as_u64().unwrap_or(0), o["masked_on"].as_u64().unwrap_or(0));
        let stands = match (nodes, masked) {
            (0, _) => "no such node now".to_owned(),
            (_, 0) => format!("in force on {nodes}"),
            _ => format!("masked on {masked} of {nodes} by {}", o["masked_by"]),
        };
        let soon = if o["soon"] == true { " (soon)" } else { "" };
        rows.push(vec![
            o["id"].to_string(),
            scope(&o["scope"]),
            effect(&o["effect"]),
            time(&o["until"]),
            format!("{}{soon}", humantime::format_duration(left)),
            o["author"].as_str().unwrap_or("").to_owned(),
            stands,
            o["reason"].as_str().unwrap_or("").to_owned(),
        ]);
    }
    if rows.len() == 1 {
        "no overrides\n".into()
    } else {
        aligned(&rows)
    }
}

fn history_table(answer: &Value) -> String {
    let mut rows = heading(["AT", "WHAT", "BY", "ID", "ON", "EFFECT", "UNTIL", "REASON"]);
    for e in answer["events"].as_array().into_iter().flatten() {
        let o = &e["what"];
        rows.push(vec![
            time(&e["at"]),
            text(&e["kind"]).to_owned(),
            text(&e["by"]).to_owned(),
            o["id"].to_string(),
            scope(&o["scope"]),
            effect(&o["effect"]),
            time(&o["until"]),
            text(&o["reason"]).to_owned(),
        ]);
    }
    aligned(&rows)
}

fn render_change(answer: &Value) -> String {
    let o = &answer["override"];
    let durable = match answer["why"].as_str() {
        Some(why) => format!("held in memory alone: {why}\n"),
        None => String::new(),
    };
    format!(
        "{}: {} on {} until {}\n{durable}",
        o["id"],
        effect(&o["effect"]),
        scope(&o["scope"]),
        time(&o["until"])
    )
}

#[cfg(test)]
mod tests;
