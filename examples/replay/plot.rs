//! Skew and reuse over time, as an SVG.

use plotters::prelude::*;

/// Draws the series; an error is a sentence.
pub fn draw(path: &str, series: &[(f64, f64, f64)], bound: f64) -> Result<(), String> {
    try_draw(path, series, bound).map_err(|e| format!("{path}: {e}"))
}

fn try_draw(
    path: &str,
    series: &[(f64, f64, f64)],
    bound: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let end = series.last().map_or(1.0, |s| s.0);
    let top = series.iter().map(|s| s.1).fold(bound, f64::max) * 1.1;
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let skew = series.iter().map(|s| (s.0, s.1));
    chart
        .draw_series(LineSeries::new(skew, &RED))?
        .label("max/mean");
    let reuse = series.iter().map(|s| (s.0, s.2));
    chart
        .draw_series(LineSeries::new(reuse, &BLUE))?
        .label("reuse");
    let limit = [(0.0, bound), (end, bound)];
    chart
        .draw_series(LineSeries::new(limit, &BLACK))?
        .label("bound");
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
