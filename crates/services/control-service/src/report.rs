//! The page of a change: how it went, with plots of old against new by class over time, its steps marked. One file that needs
//! nothing else, to be kept or sent on.

use plotters::prelude::*;
use rushquay_rollout::{Rollout, Sample, Timeline};
use std::fmt::Write as _;

const SIZE: (u32, u32) = (860, 190);
const NEW: RGBColor = RGBColor(178, 58, 30);
const OLD: RGBColor = RGBColor(40, 88, 140);
const STEP: RGBColor = RGBColor(150, 150, 150);

/// What is counted of a sample.
type Part = fn(&Sample) -> u64;

/// A part of all for one side, point by point: seconds since the first, and the part; points at which nobody was asked are left out.
fn series(course: &Timeline, class: &str, side: usize, part: Part) -> Vec<(f64, f64)> {
    let first = course.points.first().map_or(0, |p| p.at);
    let point = |p: &rushquay_rollout::Point| {
        let sample = p.classes.get(class)?[side];
        let at = p.at.saturating_sub(first) as f64 / 1e9;
        (sample.all > 0).then(|| (at, part(&sample) as f64 / sample.all as f64))
    };
    course.points.iter().filter_map(point).collect()
}

/// Numbers as a plot shows them: parts in hundredths.
fn plot(course: &Timeline, class: &str, part: Part) -> Result<String, String> {
    let sides = [0, 1].map(|side| series(course, class, side, part));
    let first = course.points.first().map_or(0, |p| p.at);
    let at = |at: u64| at.saturating_sub(first) as f64 / 1e9;
    let last = course.points.last().map_or(1.0, |p| at(p.at)).max(1.0);
    let most = sides.iter().flatten().map(|(_, y)| *y).fold(0.02, f64::max).min(1.0) * 1.1;
    let mut svg = String::new();
    let draw = |svg: &mut String| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last, 0.0..most)?;
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
        for (step, _) in &course.marks {
            let x = at(*step).min(last);
            chart.draw_series(LineSeries::new([(x, 0.0), (x, most)], STEP.stroke_width(1)))?;
        }
        for (points, color) in sides.iter().zip([NEW, OLD]) {
            chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
        }
        area.present()?;
        Ok(())
    };
    draw(&mut svg).map_err(|e| e.to_string())?;
    Ok(svg)
}

/// Text that stands in a page.
fn text(of: &str) -> String {
    of.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// The page.
///
/// # Errors
/// A plot that can't be drawn.
pub fn page(change: &Rollout, course: &Timeline) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>A change in stages</title><style>\
         body{font:15px/1.45 sans-serif;margin:2em auto;max-width:900px;color:#222}h1{font-size:1.4em}h2{font-size:1.1em;margin:1.6em 0 .2em}\
         table{border-collapse:collapse}td,th{padding:.15em .9em .15em 0;text-align:left;vertical-align:top}\
         .new{color:#b23a1e}.old{color:#28588c}svg{width:100%;height:auto}figure{margin:.4em 0}figcaption{color:#555}</style>",
    );
    // Writing to a string does not fail.
    let _ = write!(
        page,
        "<h1>Change {}: {}</h1><table><tr><th>Why</th><td>{}</td></tr><tr><th>Who</th><td>{}</td></tr>\
         <tr><th>From, to</th><td><code>{}</code>, <code>{}</code></td></tr>\
         <tr><th>Ran</th><td>{:.0} s under a leader</td></tr></table>",
        change.id,
        text(&change.phase.to_string()),
        text(&change.reason),
        text(&change.author),
        change.from,
        change.to,
        change.ran as f64 / 1e9,
    );
    if course.change != change.id || course.points.is_empty() {
        page.push_str("<p>This control service has seen nothing of it: what is measured stays with the one that led.</p>");
        return Ok(page);
    }
    let first = course.points[0].at;
    page.push_str("<h2>Steps</h2><table>");
    for (at, what) in &course.marks {
        let at = at.saturating_sub(first) as f64 / 1e9;
        let _ = write!(page, "<tr><td>{at:.1} s</td><td>{}</td></tr>", text(what));
    }
    let _ = write!(
        page,
        "</table><p><b class=\"new\">New</b> against <b class=\"old\">old</b> of the same data centres over the same time, a point for \
         {:.0} s; grey: the steps above.</p>",
        course.every as f64 / 1e9
    );
    for class in course.classes() {
        let sums = [0, 1].map(|side| {
            let of = |p: &rushquay_rollout::Point| {
                p.classes.get(&class).map_or((0, 0), |s| (s[side].bad, s[side].all))
            };
            course.points.iter().map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
        });
        let _ = write!(
            page,
            "<h2>{}</h2><p>Ended badly: new {} of {}, old {} of {}.</p>",
            text(&class),
            sums[0].0,
            sums[0].1,
            sums[1].0,
            sums[1].1
        );
        let plots: [(&str, Part); 2] = [
            ("refused, failed or late, of all", |s| s.bad),
            ("slower than nine in ten before, of all", |s| s.slow),
        ];
        for (what, part) in plots {
            let _ = write!(
                page,
                "<figure><figcaption>{what}</figcaption>{}</figure>",
                plot(course, &class, part)?
            );
        }
    }
    Ok(page)
}
