//! The report of a rollout as an HTML page, which plots the old config version against the new one for each class over time, with marks
//! for the phases. The page is self-contained, so that it can be archived or forwarded.

use plotters::prelude::*;
use rushquay_rollout::{Rollout, Sample, Timeline};
use std::fmt::Write as _;

const PLOT_SIZE: (u32, u32) = (860, 190);
const NEW_COLOR: RGBColor = RGBColor(178, 58, 30);
const OLD_COLOR: RGBColor = RGBColor(40, 88, 140);
const MARK_COLOR: RGBColor = RGBColor(150, 150, 150);

const HEAD: &str =
    "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Rollout report</title><style>\
    body{font:15px/1.45 sans-serif;margin:2em auto;max-width:900px;color:#222}\
    h1{font-size:1.4em}h2{font-size:1.1em;margin:1.6em 0 .2em}\
    table{border-collapse:collapse}td,th{padding:.15em .9em .15em 0;text-align:left;vertical-align:top}\
    .new{color:#b23a1e}.old{color:#28588c}svg{width:100%;height:auto}figure{margin:.4em 0}\
    figcaption{color:#555}</style>";

/// A plot that can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct PlotError(String);

/// Which requests of a sample are counted.
type Counted = fn(&Sample) -> u64;

/// The share of counted requests of one side at each point, with the seconds since the first point. Points without requests are skipped.
fn series(timeline: &Timeline, class: &str, side: usize, counted: Counted) -> Vec<(f64, f64)> {
    let first = timeline.points.first().map_or(0, |p| p.at);
    let point = |p: &rushquay_rollout::Point| {
        let sample = p.classes.get(class)?[side];
        let at = p.at.saturating_sub(first) as f64 / 1e9;
        (sample.all > 0).then(|| (at, counted(&sample) as f64 / sample.all as f64))
    };
    timeline.points.iter().filter_map(point).collect()
}

/// An SVG plot of the counted share of both sides, in percent.
fn plot(timeline: &Timeline, class: &str, counted: Counted) -> Result<String, PlotError> {
    let sides = [0, 1].map(|side| series(timeline, class, side, counted));
    let first = timeline.points.first().map_or(0, |p| p.at);
    let seconds_since_first = |at: u64| at.saturating_sub(first) as f64 / 1e9;
    let last = timeline.points.last().map_or(1.0, |p| seconds_since_first(p.at)).max(1.0);
    let highest = sides.iter().flatten().map(|(_, y)| *y).fold(0.02, f64::max).min(1.0) * 1.1;
    let mut svg = String::new();
    let draw = |svg: &mut String| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last, 0.0..highest)?;
        let percent = |y: &f64| format!("{:.1}%", y * 100.0);
        let seconds = |x: &f64| format!("{x:.0} s");
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .y_labels(5)
            .x_label_formatter(&seconds)
            .y_label_formatter(&percent)
            .draw()?;
        for (mark, _) in &timeline.marks {
            let x = seconds_since_first(*mark).min(last);
            chart.draw_series(LineSeries::new([(x, 0.0), (x, highest)], MARK_COLOR.stroke_width(1)))?;
        }
        for (points, color) in sides.iter().zip([NEW_COLOR, OLD_COLOR]) {
            chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
        }
        area.present()?;
        Ok(())
    };
    draw(&mut svg).map_err(|e| PlotError(e.to_string()))?;
    Ok(svg)
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders the report.
///
/// # Errors
/// A plot that can't be drawn.
pub fn render_report(rollout: &Rollout, timeline: &Timeline) -> Result<String, PlotError> {
    let mut page = String::from(HEAD);
    write_summary(&mut page, rollout);
    if timeline.change != rollout.id || timeline.points.is_empty() {
        page.push_str(
            "<p>This instance has no measurements of this rollout: \
             they stay with the instance that led.</p>",
        );
        return Ok(page);
    }
    write_phases(&mut page, timeline);
    for class in timeline.classes() {
        write_class(&mut page, timeline, &class)?;
    }
    Ok(page)
}

// Writing to a string does not fail, so the results of the following are dropped.

fn write_summary(page: &mut String, rollout: &Rollout) {
    let _ = write!(
        page,
        "<h1>Change {}: {}</h1><table><tr><th>Why</th><td>{}</td></tr><tr><th>Who</th><td>{}</td></tr>\
         <tr><th>From, to</th><td><code>{}</code>, <code>{}</code></td></tr>\
         <tr><th>Ran</th><td>{:.0} s under a leader</td></tr></table>",
        rollout.id,
        escape(&rollout.phase.to_string()),
        escape(&rollout.reason),
        escape(&rollout.author),
        rollout.from,
        rollout.to,
        rollout.ran as f64 / 1e9,
    );
}

fn write_phases(page: &mut String, timeline: &Timeline) {
    let first = timeline.points.first().map_or(0, |p| p.at);
    page.push_str("<h2>Phases</h2><table>");
    for (at, label) in &timeline.marks {
        let at = at.saturating_sub(first) as f64 / 1e9;
        let _ = write!(page, "<tr><td>{at:.1} s</td><td>{}</td></tr>", escape(label));
    }
    let _ = write!(
        page,
        "</table><p><b class=\"new\">New</b> against <b class=\"old\">old</b> of the same data centres \
         over the same time, a point for {:.0} s; grey: the phases above.</p>",
        timeline.every as f64 / 1e9
    );
}

/// The bad outcomes and all requests of one side over the whole timeline.
fn bad_and_all(timeline: &Timeline, class: &str, side: usize) -> (u64, u64) {
    let samples = timeline.points.iter().filter_map(|p| Some(p.classes.get(class)?[side]));
    samples.fold((0, 0), |(bad, all), sample| (bad + sample.bad, all + sample.all))
}

fn write_class(page: &mut String, timeline: &Timeline, class: &str) -> Result<(), PlotError> {
    let [(new_bad, new_all), (old_bad, old_all)] = [0, 1].map(|side| bad_and_all(timeline, class, side));
    let _ = write!(
        page,
        "<h2>{}</h2><p>Bad outcomes: new {new_bad} of {new_all}, old {old_bad} of {old_all}.</p>",
        escape(class),
    );
    let plots: [(&str, Counted); 2] = [
        ("refused, failed or late, of all", |sample| sample.bad),
        ("slower than nine in ten before, of all", |sample| sample.slow),
    ];
    for (caption, counted) in plots {
        let plot = plot(timeline, class, counted)?;
        let _ = write!(page, "<figure><figcaption>{caption}</figcaption>{plot}</figure>");
    }
    Ok(())
}
