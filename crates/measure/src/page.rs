//! A page of a study's results: a plot for each measure, in one file without outside parts.

use plotters::prelude::*;

use crate::{Measure, Report};

const PLOT_WIDTH_PX: u32 = 760;
const BAR_HEIGHT_PX: u32 = 26;
const MARGIN_PX: u32 = 80;

/// The page as HTML with the plots inside as SVG. Bars are medians, lines the spread over the seeds.
///
/// ```
/// use nutmegsail_measure::{Measure, Report, Row, report_page};
/// let row = Row {
///     deployment: "jm-west".to_owned(),
///     policy: "nutmegsail".to_owned(),
///     measures: vec![Measure::over_seeds("shed_share", vec![0.1, 0.2, 0.3])],
/// };
/// let report = Report { study: "steady", seeds: vec![1, 2, 3], rows: vec![row], notes: vec![] };
/// assert!(report_page(&report).contains("shed_share"));
/// ```
pub fn report_page(report: &Report) -> String {
    let mut page = format!(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>nutmegsail: {study}</title>\n\
         <style>body{{font-family:sans-serif;max-width:60rem;margin:2rem auto}}\
         pre{{background:#f4f4f4;padding:1rem;overflow-x:auto}}</style>\n\
         <h1>{study}</h1>\n<p>Median and spread over the seeds {seeds:?}.</p>\n",
        study = escaped(report.study),
        seeds = report.seeds,
    );
    for name in measure_names(report) {
        page += &format!("<h2>{}</h2>\n", escaped(name));
        page += &plot(report, name).unwrap_or_default();
    }
    page += &format!(
        "<h2>All figures</h2>\n<pre>{}</pre>\n",
        escaped(&report.to_string())
    );
    page
}

fn measure_names(report: &Report) -> Vec<&'static str> {
    let mut names: Vec<&'static str> = Vec::new();
    for measure in report.rows.iter().flat_map(|row| &row.measures) {
        if !names.contains(&measure.name) {
            names.push(measure.name);
        }
    }
    names
}

/// One bar of a plot.
struct Bar<'a> {
    label: String,
    measure: &'a Measure,
    is_ours: bool,
}

fn plot(report: &Report, name: &str) -> Option<String> {
    let bars: Vec<Bar<'_>> = report
        .rows
        .iter()
        .filter_map(|row| {
            let measure = row.measures.iter().find(|measure| measure.name == name)?;
            let label = format!("{} / {}", row.deployment, row.policy);
            Some(Bar {
                label,
                measure,
                is_ours: row.policy.starts_with("nutmegsail"),
            })
        })
        .collect();
    let mut svg = String::new();
    draw(&bars, &mut svg).ok()?;
    Some(svg)
}

type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(bars: &[Bar<'_>], svg: &'a mut String) -> DrawResult<'a> {
    let rows = u32::try_from(bars.len()).unwrap_or(u32::MAX);
    let height = rows.saturating_mul(BAR_HEIGHT_PX).saturating_add(MARGIN_PX);
    let area = SVGBackend::with_string(svg, (PLOT_WIDTH_PX, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = bars
        .iter()
        .map(|bar| bar.measure.max)
        .filter(|max| max.is_finite());
    let highest = highest.fold(f64::MIN_POSITIVE, f64::max);
    let labels: Vec<&str> = bars.iter().map(|bar| bar.label.as_str()).collect();
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(260)
        .build_cartesian_2d(0.0..highest * 1.05, (0..rows.max(1)).into_segmented())?;
    let label = |segment: &SegmentValue<u32>| match segment {
        SegmentValue::CenterOf(row) => labels
            .get(*row as usize)
            .copied()
            .unwrap_or_default()
            .to_owned(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(bars.len())
        .y_label_formatter(&label)
        .draw()?;
    for (row, bar) in (0..rows).zip(bars) {
        let color = if bar.is_ours {
            RGBColor(0, 110, 90)
        } else {
            RGBColor(170, 170, 170)
        };
        let (from, to) = (SegmentValue::Exact(row), SegmentValue::Exact(row + 1));
        let mut rectangle = Rectangle::new([(0.0, from), (bar.measure.median, to)], color.filled());
        rectangle.set_margin(4, 4, 0, 0);
        chart.draw_series([rectangle])?;
        let middle = SegmentValue::CenterOf(row);
        let spread = [(bar.measure.min, middle.clone()), (bar.measure.max, middle)];
        chart.draw_series([PathElement::new(spread, BLACK)])?;
    }
    area.present()
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
