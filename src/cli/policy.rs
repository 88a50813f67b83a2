//! `rushquay policy`: atomic changes of policy for the whole fleet, over the control service's admin address.

use super::admin_client::{AdminClient, AdminResponse};
use super::output::{aligned, heading, print_answer, text, time, Render};
use clap::{Args, Subcommand};
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::{Timestamp, Zoned};
use rushquay_policy::{FallbackPolicy, Policy};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often `propose --wait` reads the status.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Args)]
pub struct PolicyArgs {
    /// The control service's admin address.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:18001", global = true)]
    admin: SocketAddr,
    /// Print the response of the service as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: PolicyCommand,
}

#[derive(Subcommand)]
enum PolicyCommand {
    /// Checks a policy offline, without contacting the control service.
    Check(BodyArgs),
    /// Shows what a policy would change, field by field, and what is in force until it is decided. Changes nothing.
    Diff(BodyArgs),
    /// Proposes a policy, which in the end is applied everywhere or nowhere.
    Propose {
        #[command(flatten)]
        body: BodyArgs,
        /// The author of the proposal.
        #[arg(long, env = "USER")]
        author: String,
        /// The reason.
        #[arg(long)]
        reason: String,
        /// Print the progress until the change is decided; fail if it was aborted.
        #[arg(long)]
        wait: bool,
        /// Continue after the store was lost or restored from an older state, after everything that was ever published.
        #[arg(long)]
        anew: bool,
    },
    /// Shows the policy in force, the policy that each proxy applies, which proxies a change waits for, and when it is aborted.
    Status,
    /// Aborts the undecided change: it is applied nowhere.
    Abort {
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
    /// Shows which policy a proxy applied, and when.
    Explain {
        /// The proxy.
        proxy: String,
        /// Only at this time: 06:02 of today, or 2026-12-02 06:02, in this machine's time zone.
        #[arg(long, value_name = "TIME")]
        at: Option<String>,
    },
}

#[derive(Args)]
struct BodyArgs {
    /// The new settings (JSON), overlaid on each proxy's own file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// The fallback policy (JSON) for a proxy without a policy lease, never looser than the settings; `nobody`: it serves nobody. Without
    /// this option, that of the policy in force.
    #[arg(long, value_name = "FILE")]
    floor: Option<PathBuf>,
}

fn read_json(path: &Path) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}

impl BodyArgs {
    fn request(&self) -> Result<Value, String> {
        let floor = match &self.floor {
            None => Value::Null,
            Some(word) if word.as_os_str() == "nobody" => "nobody".into(),
            Some(path) => read_json(path)?,
        };
        Ok(json!({"settings": read_json(&self.settings)?, "floor": floor}))
    }
}

/// Parses a time as a person writes it to Unix nanoseconds.
fn parse_time(input: &str, now: &Zoned) -> Result<u64, String> {
    let expected = || format!("--at {input:?}: expected 06:02 or 2026-12-02 06:02");
    // Danger: the parser of a time also accepts a date with a time and ignores the date, so the date is tried first.
    let at = match (input.parse::<DateTime>(), input.parse::<jiff::civil::Time>()) {
        (Ok(at), _) => at,
        (Err(_), Ok(time)) => now.date().to_datetime(time),
        (Err(_), Err(_)) => return Err(expected()),
    };
    let at: Timestamp = at.to_zoned(now.time_zone().clone()).map_err(|e| e.to_string())?.timestamp();
    u64::try_from(at.as_nanosecond()).map_err(|_| expected())
}

const POLICY: &str = "/v1/policy";

/// Runs the command.
pub async fn run(args: PolicyArgs) -> Result<(), String> {
    let client = AdminClient::new(args.admin);
    let (answer, render): (Value, Render) = match args.command {
        PolicyCommand::Check(body) => (validate_offline(&body.request()?)?, render_valid),
        PolicyCommand::Diff(body) => {
            (client.query("/v1/policy/diff", body.request()?).await?.body, render_diff)
        }
        PolicyCommand::Propose { body, author, reason, wait, anew } => {
            // The change is made on the revision that is read here.
            let etag = client.get(POLICY).await?.etag;
            let mut request = body.request()?;
            (request["author"], request["reason"], request["anew"]) =
                (json!(author), json!(reason), json!(anew));
            let answer = client.post(POLICY, etag, request).await?.body;
            if wait {
                print!("{}", render_proposal(&answer));
                return until_decided(&client, &answer["policy"]).await;
            }
            (answer, render_proposal)
        }
        PolicyCommand::Status => (client.get(POLICY).await?.body, status),
        PolicyCommand::Abort { author } => {
            let etag = client.get(POLICY).await?.etag;
            (client.post("/v1/policy/abort", etag, json!({"by": author})).await?.body, render_abort)
        }
        PolicyCommand::History { limit } => {
            (client.get(&format!("{POLICY}/history?limit={limit}")).await?.body, history)
        }
        PolicyCommand::Explain { proxy, at } => {
            let now = Timestamp::now().to_zoned(TimeZone::system());
            let at = at.map(|at| parse_time(&at, &now)).transpose()?;
            let query = at.map_or_else(String::new, |at| format!("?at={at}"));
            (client.get(&format!("{POLICY}/explain/{proxy}{query}")).await?.body, render_explanation)
        }
    };
    print_answer(&answer, args.json, render);
    Ok(())
}

/// Prints the progress of a proposal until it is decided; fails if it was aborted.
async fn until_decided(client: &AdminClient, policy: &Value) -> Result<(), String> {
    let mut last = String::new();
    loop {
        let line = match client.get(POLICY).await {
            // The proposal is not lost if the service is unreachable: the next leader decides it.
            Err(e) => format!("no answer: {e}"),
            Ok(AdminResponse { body: status, .. }) => {
                if status["last"]["policy"] == *policy {
                    let words = text(&status["last"]["in_words"]).to_owned();
                    return match status["last"]["ended"]["ended"] == "committed" {
                        true => {
                            println!("{words}");
                            Ok(())
                        }
                        false => Err(words),
                    };
                }
                describe_blockers(&status)
            }
        };
        if line != last {
            println!("{line}");
            last = line;
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// Validates a policy as the control service would, without its present state.
fn validate_offline(ask: &Value) -> Result<Value, String> {
    let floor = match &ask["floor"] {
        Value::Null => FallbackPolicy::Nobody,
        input => FallbackPolicy::read(input).map_err(|e| e.to_string())?,
    };
    let policy = Policy::validated(&ask["settings"], floor).map_err(|e| e.to_string())?;
    Ok(policy.document())
}

fn render_valid(_: &Value) -> String {
    "good by itself; rushquay policy diff tells what it would change\n".into()
}

fn seconds(of: &Value) -> String {
    format!("{:.1} s", of.as_f64().unwrap_or(0.0))
}

fn render_diff(answer: &Value) -> String {
    let mut rows = heading(["FIELD", "OLD", "UNTIL DECIDED", "NEW"]);
    let by_file = |v: &Value| if v.is_null() { "(each file's)".to_owned() } else { v.to_string() };
    for f in answer["fields"].as_array().into_iter().flatten() {
        rows.push(vec![
            text(&f["field"]).into(),
            by_file(&f["old"]),
            by_file(&f["joint"]),
            by_file(&f["new"]),
        ]);
    }
    let mut out = match rows.len() {
        1 => "nothing changes\n".into(),
        _ => aligned(&rows),
    };
    for stop in answer["stops"].as_array().into_iter().flatten() {
        out += &format!("REFUSED UNTIL DECIDED: {}\n", text(stop));
    }
    out + &format!("the floor for who has no leave: {}\n", answer["floor"])
}

fn render_proposal(answer: &Value) -> String {
    let mut out =
        format!("policy {} is proposed; until it is decided old and new both hold\n", answer["policy"]);
    out += &render_diff(answer);
    out + "rushquay policy status\n"
}

fn render_abort(answer: &Value) -> String {
    format!("it holds nowhere, at revision {}\n", answer["revision"])
}

/// Describes which processes hold up the decision, ten at most.
fn describe_blockers(answer: &Value) -> String {
    let all = answer["waits_for"].as_array();
    let one = |h: &Value| format!("{} (fenced in {})", text(&h["name"]), seconds(&h["fenced_in_s"]));
    let names: Vec<String> = all.into_iter().flatten().take(10).map(one).collect();
    let more = all.map_or(0, Vec::len).saturating_sub(names.len());
    match names.is_empty() {
        true => "waits for nobody: decided at the next look".into(),
        false if more > 0 => format!("held up by {}, and {more} more", names.join(", ")),
        false => format!("held up by {}", names.join(", ")),
    }
}

fn status(answer: &Value) -> String {
    let mut out = String::new();
    if let Some(fault) = answer["fault"].as_str() {
        out += &format!("NOTHING IS DECIDED AND NOBODY HAS LEAVE: {fault}\n");
    }
    out += &format!("{} (revision {})\n", text(&answer["in_words"]), answer["revision"]);
    let change = &answer["change"];
    if !change.is_null() {
        out += &format!(
            "policy {} by {}: {}\n{} of {} processes obey both; {}\nunder way for {}, gives up in {}\n",
            change["to"],
            text(&change["author"]),
            text(&change["reason"]),
            answer["joined"],
            answer["processes"],
            describe_blockers(answer),
            seconds(&change["since_s"]),
            seconds(&change["gives_up_in_s"]),
        );
        out += &render_diff(&change["compared"]);
    }
    if !answer["last"].is_null() {
        out += &format!("last: policy {} {}\n", answer["last"]["policy"], text(&answer["last"]["in_words"]));
    }
    let mut rows = heading(["PROXY", "PROCESS", "ACTS BY REVISION"]);
    for m in answer["members"].as_array().into_iter().flatten() {
        let acting = match m["acting"].as_u64() {
            Some(0) | None => "none (the floor)".into(),
            Some(revision) => revision.to_string(),
        };
        rows.push(vec![text(&m["name"]).into(), format!("{:x}", m["boot"].as_u64().unwrap_or(0)), acting]);
    }
    out + &aligned(&rows)
}

fn history(answer: &Value) -> String {
    let mut rows = heading(["AT", "REVISION", "POLICY", "WHAT", "HOLDS SINCE"]);
    for e in answer["events"].as_array().into_iter().flatten() {
        let (revision, policy) = (e["revision"].to_string(), e["policy"].to_string());
        rows.push(vec![time(&e["at"]), revision, policy, text(&e["what"]).into(), text(&e["told"]).into()]);
    }
    aligned(&rows)
}

fn render_explanation(answer: &Value) -> String {
    let mut rows = heading(["FROM", "UNTIL", "PROCESS", "ACTED BY"]);
    for a in answer["acted"].as_array().into_iter().flatten() {
        let process = format!("{:x}", a["boot"].as_u64().unwrap_or(0));
        rows.push(vec![time(&a["from"]), time(&a["until"]), process, text(&a["acted_by"]).into()]);
    }
    match rows.len() {
        1 => "nothing is known of that moment\n".into(),
        _ => aligned(&rows),
    }
}

#[cfg(test)]
mod tests;
