//! `rushquay override`: operators' overrides, over the control service's admin address.

use super::{Failure, NOT_KEPT};
use clap::{Args, Subcommand};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use jiff::{Timestamp, Zoned};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// A control service that says nothing for so long is not there.
const ANSWER: Duration = Duration::from_secs(10);

#[derive(Args)]
pub struct OverrideArgs {
    /// The control service's admin address.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:18001", global = true)]
    admin: SocketAddr,
    /// Print what the service answers, as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: OverrideCommand,
}

#[derive(Subcommand)]
enum OverrideCommand {
    /// Sets one.
    Set(Box<SetArgs>),
    /// Lists those that are live, and which are masked by which.
    List,
    /// Lifts one before its time.
    Lift {
        /// Its number.
        id: u64,
        /// Who lifts it.
        #[arg(long, env = "USER")]
        author: String,
    },
    /// What happened, the newest first.
    History {
        /// Events at most.
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
    /// Who sets it.
    #[arg(long, env = "USER")]
    author: String,
    /// Why.
    #[arg(long)]
    reason: String,
    /// Though too little stays in service, or no such node is known.
    #[arg(long)]
    force: bool,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct On {
    /// On one node, by its id.
    #[arg(long, value_name = "ID")]
    node: Option<String>,
    /// On a machine kind.
    #[arg(long, value_name = "KIND")]
    kind: Option<String>,
    /// On a data centre.
    #[arg(long, value_name = "ZONE")]
    zone: Option<String>,
    /// On all nodes.
    #[arg(long)]
    all: bool,
}

#[derive(Args)]
#[group(required = true, multiple = true)]
struct What {
    /// Out of service: nothing new is sent there.
    #[arg(long, conflicts_with_all = ["weight", "pin_keys", "pin_class"])]
    out: bool,
    /// A factor on the weight.
    #[arg(long, value_name = "FACTOR", conflicts_with_all = ["pin_keys", "pin_class"])]
    weight: Option<f64>,
    /// Pins these keys to the node: one, or with a * at the end all that begin so.
    #[arg(long, value_name = "KEYS")]
    pin_keys: Option<String>,
    /// Pins a class of requests to the node; with --pin-keys those keys of the class alone.
    #[arg(long, value_name = "CLASS")]
    pin_class: Option<String>,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct End {
    /// For so long: 90m, 2h, 1h 30m.
    #[arg(long = "for", value_name = "SPAN")]
    span: Option<String>,
    /// Until then: 07:30 (the next one here), or 2026-12-01T07:30:00+05:30.
    #[arg(long, value_name = "TIME")]
    until: Option<String>,
}

impl End {
    /// Unix time in nanoseconds.
    fn at(&self, now: &Zoned) -> Result<u64, String> {
        let nanos =
            |t: Timestamp| u64::try_from(t.as_nanosecond()).map_err(|_| "lies before 1970".to_owned());
        if let Some(span) = &self.span {
            let span = humantime::parse_duration(span)
                .map_err(|e| format!("--for {span}: {e}; such as 2h or 90m"))?;
            return Ok(nanos(now.timestamp())?.saturating_add(span.as_nanos() as u64));
        }
        let told = self.until.as_deref().unwrap_or("");
        if let Ok(time) = told.parse::<jiff::civil::Time>() {
            let today = now.date().to_datetime(time).to_zoned(now.time_zone().clone());
            let mut at = today.map_err(|e| format!("--until {told}: {e}"))?;
            if at <= *now {
                let tomorrow = now.date().tomorrow().map_err(|e| e.to_string())?;
                at = tomorrow
                    .to_datetime(time)
                    .to_zoned(now.time_zone().clone())
                    .map_err(|e| e.to_string())?;
            }
            return nanos(at.timestamp());
        }
        let at: Timestamp = told.parse().map_err(|_| {
            format!("--until {told}: expected a time such as 07:30 or 2026-12-01T07:30:00+05:30")
        })?;
        nanos(at)
    }
}

/// Does what the command says.
pub async fn run(args: OverrideArgs) -> Result<(), Failure> {
    let admin = args.admin;
    let (answer, table): (Value, fn(&Value) -> String) = match args.command {
        OverrideCommand::List => (call(admin, Method::GET, "/v1/overrides", None, None).await?.1, live_table),
        OverrideCommand::History { limit } => {
            let path = format!("/v1/overrides/history?limit={limit}");
            (call(admin, Method::GET, &path, None, None).await?.1, history_table)
        }
        OverrideCommand::Set(set) => {
            let scope = match (set.on.node, set.on.kind, set.on.zone) {
                (Some(id), ..) => json!({"node": id}),
                (_, Some(kind), _) => json!({"kind": kind}),
                (.., Some(zone)) => json!({"zone": zone}),
                _ => json!("all"),
            };
            let effect = match set.what {
                What { out: true, .. } => json!("out"),
                What { weight: Some(factor), .. } => json!({"weight": factor}),
                What { pin_class, pin_keys, .. } => {
                    let mut pinned = serde_json::Map::new();
                    pinned.extend(pin_class.map(|c| ("class".to_owned(), json!(c))));
                    pinned.extend(pin_keys.map(|k| ("keys".to_owned(), json!(k))));
                    json!({"pinned": pinned})
                }
            };
            let ask = json!({"scope": scope, "effect": effect, "until": set.end.at(&Zoned::now())?,
                             "author": set.author, "reason": set.reason, "force": set.force});
            // What is looked at now is what the change is made on.
            let (tag, _) = call(admin, Method::GET, "/v1/overrides", None, None).await?;
            (call(admin, Method::POST, "/v1/overrides", tag, Some(ask)).await?.1, changed)
        }
        OverrideCommand::Lift { id, author } => {
            let (tag, _) = call(admin, Method::GET, "/v1/overrides", None, None).await?;
            let by: String = author
                .bytes()
                .map(|b| match b {
                    b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => (b as char).to_string(),
                    other => format!("%{other:02X}"),
                })
                .collect();
            let path = format!("/v1/overrides/{id}?by={by}");
            (call(admin, Method::DELETE, &path, tag, None).await?.1, changed)
        }
    };
    match args.json {
        true => println!("{answer:#}"),
        false => print!("{}", table(&answer)),
    }
    kept(&answer)
}

/// Whether what was done is kept, where the control service keeps anything.
fn kept(answer: &Value) -> Result<(), Failure> {
    match answer["why"].as_str().filter(|why| !why.starts_with("no --state")) {
        None => Ok(()),
        Some(why) => {
            let text = format!("it holds, in memory alone until it can be kept: {why}");
            Err(Failure { text, status: NOT_KEPT })
        }
    }
}

/// Calls the admin address; returns the answer's tag with it.
pub async fn call(
    admin: SocketAddr,
    method: Method,
    path: &str,
    tag: Option<String>,
    body: Option<Value>,
) -> Result<(Option<String>, Value), String> {
    let fault = |e: &dyn std::fmt::Display| {
        format!("control service at {admin}: {e}; --admin names its admin address")
    };
    let exchange = async {
        let stream = TcpStream::connect(admin).await.map_err(|e| fault(&e))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| fault(&e))?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", admin.to_string());
        if let Some(tag) = tag {
            request = request.header("if-match", tag);
        }
        let body = body.map_or_else(String::new, |b| b.to_string());
        let request = request.header("content-type", "application/json").body(Full::new(Bytes::from(body)));
        let response =
            sender.send_request(request.map_err(|e| e.to_string())?).await.map_err(|e| fault(&e))?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| fault(&e))?.to_bytes();
        let tag = head.headers.get("etag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let answer: Value = serde_json::from_slice(&body)
            .map_err(|_| format!("{}: {}", head.status, String::from_utf8_lossy(&body).trim()))?;
        match head.status.is_success() {
            true => Ok((tag, answer)),
            false => Err(answer["error"].as_str().map_or_else(|| answer.to_string(), str::to_owned)),
        }
    };
    tokio::time::timeout(ANSWER, exchange).await.map_err(|_| fault(&"no answer"))?
}

pub fn time(nanos: &Value) -> String {
    let at = nanos.as_u64().and_then(|n| Timestamp::from_nanosecond(i128::from(n)).ok());
    at.map_or_else(String::new, |t| t.to_zoned(jiff::tz::TimeZone::system()).strftime("%F %T").to_string())
}

fn scope(of: &Value) -> String {
    match of.as_object().and_then(|o| o.iter().next()) {
        Some((what, name)) => format!("{what} {}", name.as_str().unwrap_or("")),
        None => "all".into(),
    }
}

fn effect(of: &Value) -> String {
    if let Some(pinned) = of["pinned"].as_object() {
        let told = pinned.iter().map(|(what, name)| format!(" {what} {}", name.as_str().unwrap_or("")));
        return "pinned".to_owned() + &told.collect::<String>();
    }
    of["weight"].as_f64().map_or_else(|| "out".into(), |factor| format!("weight x {factor}"))
}

fn live_table(answer: &Value) -> String {
    let mut rows =
        vec![["ID", "ON", "WHAT", "UNTIL", "LEFT", "BY", "STANDS", "REASON"].map(str::to_owned).to_vec()];
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
    let mut rows =
        vec![["AT", "WHAT", "BY", "ID", "ON", "EFFECT", "UNTIL", "REASON"].map(str::to_owned).to_vec()];
    for e in answer["events"].as_array().into_iter().flatten() {
        let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
        let o = &e["what"];
        rows.push(vec![
            time(&e["at"]),
            text(&e["kind"]),
            text(&e["by"]),
            o["id"].to_string(),
            scope(&o["scope"]),
            effect(&o["effect"]),
            time(&o["until"]),
            text(&o["reason"]),
        ]);
    }
    aligned(&rows)
}

fn changed(answer: &Value) -> String {
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

pub fn aligned(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}", w = *w)).collect();
        cells.join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ends_are_told_in_human_terms() {
        let now: Zoned = "2026-12-01T05:00:00+05:30[Asia/Kolkata]".parse().expect("a time");
        let of = |span: Option<&str>, until: Option<&str>| {
            let end = End { span: span.map(str::to_owned), until: until.map(str::to_owned) };
            end.at(&now).map(|n| (n / 1_000_000_000) as i64 - now.timestamp().as_second())
        };
        assert_eq!(of(Some("2h"), None), Ok(7200));
        assert_eq!(of(Some("1h 30m"), None), Ok(5400));
        assert_eq!(of(None, Some("07:30")), Ok(9000));
        // That of tomorrow.
        assert_eq!(of(None, Some("04:30")), Ok(84_600));
        assert_eq!(of(None, Some("2026-12-01T07:30:00+05:30")), Ok(9000));
        assert!(of(Some("soon"), None).expect_err("no span").contains("such as 2h"));
        assert!(of(None, Some("half past")).expect_err("no time").contains("07:30"));
    }
}
