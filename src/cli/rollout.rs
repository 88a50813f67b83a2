//! `rushquay rollout`: changes of settings and programs in stages, over the control service's admin address.

use super::admin_client::{AdminClient, AdminResponse};
use super::output::{aligned, heading, print_answer, text, time, Render};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often `watch` reads the status.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// `watch` tolerates an unreachable control service: it reports the failure and keeps polling.
const UNREACHABLE: &str = "the control service does not answer; nobody moves meanwhile";

#[derive(Args)]
pub struct RolloutArgs {
    /// The control service's admin address.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:18001", global = true)]
    admin: SocketAddr,
    /// Print the response of the service as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: RolloutCommand,
}

#[derive(Subcommand)]
enum RolloutCommand {
    /// Shows what a change would do: the proxies in each stage, and the minimum duration. Changes nothing.
    Plan(ChangeArgs),
    /// Starts a change.
    Start(ChangeArgs),
    /// Shows the state of the change, what each proxy runs, the evidence, and what the change waits for.
    Status,
    /// Prints each step until the change is complete; fails if it was rolled back.
    Watch,
    /// Pauses the change at its present stage.
    Hold(ByArgs),
    /// Resumes a paused change.
    Resume(ByArgs),
    /// Rolls the change back.
    Back(ByArgs),
    /// Shows the history, newest first.
    History {
        /// The maximum number of events.
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
    /// Lists all known proxies with their state.
    Roster,
}

#[derive(Args)]
struct ChangeArgs {
    /// The complete new settings (JSON); fields that are missing come from each proxy's own file. Without this option the
    /// present settings stay.
    #[arg(long, value_name = "FILE", required_unless_present = "program")]
    settings: Option<PathBuf>,
    /// The digest of the program that hosts are to run; see rushquay host digest. `own`: the program in each host's file.
    #[arg(long, value_name = "DIGEST")]
    program: Option<String>,
    /// The stages (TOML). Without this option: one proxy, a tenth, half, all.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// The author of the change.
    #[arg(long, env = "USER")]
    author: String,
    /// The reason.
    #[arg(long)]
    reason: String,
    /// Replace a running change; whatever it leaves behind is rolled back at once.
    #[arg(long)]
    displace: bool,
}

#[derive(Args)]
struct ByArgs {
    /// The author of the command.
    #[arg(long, env = "USER")]
    author: String,
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

impl ChangeArgs {
    /// Builds the request for the control service; `current` holds the settings in force.
    fn request(self, current: Value) -> Result<Value, String> {
        let mut settings = match &self.settings {
            None => current,
            Some(path) => {
                serde_json::from_str::<Value>(&read(path)?).map_err(|e| format!("{}: {e}", path.display()))?
            }
        };
        match (self.program.as_deref(), settings.as_object_mut()) {
            (Some("own"), Some(fields)) => drop(fields.remove("program")),
            (Some(program), Some(fields)) => drop(fields.insert("program".into(), json!(program))),
            _ => {}
        }
        let mut request = json!({"settings": settings, "author": self.author, "reason": self.reason,
                             "displace": self.displace});
        if let Some(path) = self.plan {
            let plan: toml::Table =
                toml::from_str(&read(&path)?).map_err(|e| format!("{}: {e}", path.display()))?;
            request["plan"] = serde_json::to_value(plan).map_err(|e| e.to_string())?;
        }
        Ok(request)
    }
}

const ROLLOUT: &str = "/v1/rollout";

/// Holds, resumes or rolls back the change, on the revision that is read here.
async fn post_action(client: &AdminClient, action: &str, by: ByArgs) -> Result<AdminResponse, String> {
    let etag = client.get(ROLLOUT).await?.etag;
    client.post(&format!("{ROLLOUT}/{action}"), etag, json!({"by": by.author})).await
}

/// Runs the command.
pub async fn run(args: RolloutArgs) -> Result<(), String> {
    let client = AdminClient::new(args.admin);
    let (response, render): (AdminResponse, Render) = match args.command {
        RolloutCommand::Plan(change) => {
            let mut current = client.get(ROLLOUT).await?.body;
            let request = change.request(current["holding"].take())?;
            (client.query("/v1/rollout/plan", request).await?, render_plan)
        }
        RolloutCommand::Start(change) => {
            let AdminResponse { etag, body: mut current } = client.get(ROLLOUT).await?;
            let request = change.request(current["holding"].take())?;
            (client.post(ROLLOUT, etag, request).await?, render_start)
        }
        RolloutCommand::Status => (client.get(ROLLOUT).await?, status),
        RolloutCommand::Watch => return watch(&client).await,
        RolloutCommand::Hold(by) => (post_action(&client, "hold", by).await?, render_action),
        RolloutCommand::Resume(by) => (post_action(&client, "resume", by).await?, render_action),
        RolloutCommand::Back(by) => (post_action(&client, "back", by).await?, render_action),
        RolloutCommand::History { limit } => {
            (client.get(&format!("{ROLLOUT}/history?limit={limit}")).await?, history)
        }
        RolloutCommand::Roster => (client.get("/v1/roster").await?, render_roster),
    };
    print_answer(&response.body, args.json, render);
    Ok(())
}

/// Prints each step until the rollout is complete; fails if it was rolled back.
async fn watch(client: &AdminClient) -> Result<(), String> {
    let mut last = String::new();
    loop {
        let status = client.get(ROLLOUT).await;
        let line = match &status {
            Ok(response) => {
                let status = &response.body;
                let change = &status["change"];
                format!(
                    "change {}: {}; {}",
                    change["id"],
                    text(&change["in_words"]),
                    text(&status["waits_for"])
                )
            }
            Err(_) => UNREACHABLE.to_owned(),
        };
        // A change of only the countdown is not printed.
        let shown = line
            .split(" s to the next look")
            .next()
            .unwrap_or("")
            .trim_end_matches(char::is_numeric)
            .to_owned();
        if shown != last {
            println!("{line}");
            last = shown;
        }
        if let Ok(AdminResponse { body: status, .. }) = status {
            match text(&status["change"]["phase"]["phase"]) {
                "done" => return Ok(()),
                "gone-back" => return Err(text(&status["change"]["in_words"]).to_owned()),
                "" => return Err("no change has been made".into()),
                _ => {}
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

fn short(digest: &Value) -> &str {
    text(digest).get(..8).unwrap_or("")
}

fn words(list: &Value) -> String {
    let words: Vec<&str> = list.as_array().into_iter().flatten().map(text).collect();
    words.join(" ")
}

fn render_plan(answer: &Value) -> String {
    let mut out = format!("from {} to {}\n", short(&answer["from"]), short(&answer["to"]));
    for (n, stage) in answer["stages"].as_array().into_iter().flatten().enumerate() {
        let count = stage["names"].as_array().map_or(0, Vec::len);
        let names = words(&stage["names"]);
        let names: String = names.chars().take(200).collect();
        out += &format!("stage {}: {count} proxies, soaks {} s at least: {names}\n", n + 1, stage["soak_s"]);
    }
    out += &format!("{} s at least in all\n", answer["least_s"]);
    if let Some(left) = answer["displaced_leaves"].as_array() {
        out += &format!("a change runs; displaced it leaves {} proxies to go back at once\n", left.len());
    }
    out
}

fn render_start(answer: &Value) -> String {
    let change = &answer["change"];
    let left = answer["left_behind"].as_array().map_or(0, Vec::len);
    let left = if left > 0 {
        format!("; {left} proxies of the displaced one go back at once")
    } else {
        String::new()
    };
    format!("change {} to {} begins{left}\nrushquay rollout watch\n", change["id"], short(&change["to"]))
}

fn render_action(answer: &Value) -> String {
    format!("done, at revision {}\n", answer["revision"])
}

fn status(answer: &Value) -> String {
    let mut out = String::new();
    if let Some(fault) = answer["fault"].as_str() {
        out += &format!("NOTHING IS DECIDED: {fault}\n");
    }
    let change = &answer["change"];
    if change.is_null() {
        out += &format!("no change; {} holds\n", short(&answer["holds"]));
    } else {
        out += &format!(
            "change {} by {}: {}\n{} -> {}: {}\n{} proxies told, {:.0} s under way\n",
            change["id"],
            text(&change["author"]),
            text(&change["reason"]),
            short(&change["from"]),
            short(&change["to"]),
            text(&change["in_words"]),
            change["told"],
            change["ran_s"].as_f64().unwrap_or(0.0),
        );
        out += &format!("waits for: {}\n", text(&answer["waits_for"]));
    }
    let mut rows = heading(["ZONE", "ACTS BY", "PROXIES"]);
    for f in answer["fleet"].as_array().into_iter().flatten() {
        let counts: Vec<String> = f["proxies"]
            .as_object()
            .into_iter()
            .flatten()
            .map(|(standing, n)| format!("{n} {standing}"))
            .collect();
        rows.push(vec![text(&f["zone"]).into(), short(&f["acting"]).into(), counts.join(", ")]);
    }
    out += &aligned(&rows);
    let scores = answer["evidence"].as_array().filter(|s| !s.is_empty());
    if let Some(scores) = scores {
        let mut rows = heading(["CLASS", "IN", "MEASURE", "NEW", "OLD", "EVIDENCE"]);
        // For single data centres show only evidence against the new version; the totals include the rest.
        let against = |s: &&Value| text(&s["zone"]).is_empty() || s["evidence"].as_f64().unwrap_or(0.0) > 0.0;
        for s in scores.iter().filter(against) {
            let of = |n: usize| format!("{} of {}", s["bad"][n], s["all"][n]);
            let evidence = format!(
                "{:.1} of {:.1}",
                s["evidence"].as_f64().unwrap_or(0.0),
                s["stops_at"].as_f64().unwrap_or(0.0)
            );
            let or_all =
                |field: &str| if text(&s[field]).is_empty() { "(all)" } else { text(&s[field]) }.into();
            rows.push(vec![
                or_all("class"),
                or_all("zone"),
                text(&s["measure"]).into(),
                of(0),
                of(1),
                evidence,
            ]);
        }
        out += &aligned(&rows);
    }
    for one in answer["not_as_given"].as_array().into_iter().flatten() {
        let why = text(&one["refused"]["why"]);
        out += &format!(
            "{} ({}) acts by {}, not by {}{}{why}\n",
            text(&one["name"]),
            text(&one["standing"]),
            short(&one["acting"]),
            short(&one["given"]),
            if why.is_empty() { "" } else { ": " },
        );
    }
    out
}

fn history(answer: &Value) -> String {
    let mut rows = heading(["AT", "CHANGE", "WHAT"]);
    for e in answer["events"].as_array().into_iter().flatten() {
        rows.push(vec![time(&e["at"]), e["change"].to_string(), text(&e["what"]).into()]);
    }
    aligned(&rows)
}

/// Describes the report of a proxy's host.
fn describe_host(host: &Value) -> String {
    if host.is_null() {
        return String::new();
    }
    let fault = host["fault"].as_str();
    let tries = host["trying"].as_str().map(|_| format!("tries {}", short(&host["trying"])));
    let refused = host["refused"][1].as_str().map(|why| format!("went back from {why}"));
    let words: Vec<String> = fault.map(str::to_owned).into_iter().chain(tries).chain(refused).collect();
    if words.is_empty() {
        "well".into()
    } else {
        words.join("; ")
    }
}

fn render_roster(answer: &Value) -> String {
    let mut rows =
        heading(["NAME", "ZONE", "STANDS", "ACTS BY", "GIVEN", "VERSION", "PROGRAM", "RESTARTS", "HOST"]);
    for p in answer["proxies"].as_array().into_iter().flatten() {
        rows.push(vec![
            text(&p["name"]).into(),
            text(&p["zone"]).into(),
            text(&p["standing"]).into(),
            short(&p["acting"]).into(),
            short(&p["given"]).into(),
            text(&p["version"]).into(),
            short(&p["program"]).into(),
            p["restarts"].to_string(),
            describe_host(&p["host"]),
        ]);
    }
    aligned(&rows)
}
