//! Collects samples, computes medians and least-squares slopes, and prints them.

use serde_json::{json, Value};

/// All samples of a figure at one size.
pub struct Point {
    /// The size, for example the number of servers, gateways or tenants.
    pub size: f64,
    /// The measured values, usually one for each repetition.
    pub samples: Vec<f64>,
}

impl Point {
    /// The median of the samples; not a number if there are none.
    pub fn median(&self) -> f64 {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        match sorted.len() {
            0 => f64::NAN,
            n if n % 2 == 1 => sorted[n / 2],
            n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
        }
    }

    /// The smallest sample; infinity if there are none.
    pub fn min(&self) -> f64 {
        self.samples.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// The largest sample; negative infinity if there are none.
    pub fn max(&self) -> f64 {
        self.samples.iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }
}

/// A straight line fitted to medians.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The value at size 0.
    pub base: f64,
    /// The increase of the value when the size grows by 1.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
}

/// A point to which a straight line is fitted.
#[derive(Clone, Copy, Debug)]
pub struct FitPoint {
    /// The size.
    pub x: f64,
    /// The value at this size.
    pub y: f64,
}

/// Fits a least-squares line to points. Its slope and base are not a number if all points have the same size.
pub fn fit(points: &[FitPoint]) -> Fit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
    let squared_deviations: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum::<f64>() / squared_deviations;
    let base = mean_y - slope * mean_x;
    let residuals: f64 = points.iter().map(|p| (p.y - base - slope * p.x).powi(2)).sum();
    Fit { base, slope, error: (residuals / (n - 2.0).max(1.0) / squared_deviations).sqrt() }
}

/// A figure that was measured at several sizes.
pub struct Series {
    /// Label of the figure.
    pub what: String,
    /// Label of the size, for example `servers`.
    pub by: &'static str,
    /// The unit of the figure.
    pub unit: &'static str,
    /// The points, smallest size first.
    pub points: Vec<Point>,
}

impl Series {
    /// The line fitted to the medians.
    pub fn fit(&self) -> Fit {
        let points: Vec<FitPoint> =
            self.points.iter().map(|p| FitPoint { x: p.size, y: p.median() }).collect();
        fit(&points)
    }
}

/// A figure that is not measured by size.
pub struct Fact {
    /// Label of the figure.
    pub what: String,
    /// Value of the figure.
    pub value: f64,
    /// The unit of the value; empty for a count or a ratio.
    pub unit: &'static str,
}

/// The figures that a command has measured.
#[derive(Default)]
pub struct Report {
    /// Figures that were measured at several sizes.
    pub series: Vec<Series>,
    /// Figures that are not measured by size.
    pub facts: Vec<Fact>,
}

impl Report {
    /// Adds a figure that is not measured by size.
    pub fn add_fact(&mut self, what: impl Into<String>, value: f64, unit: &'static str) {
        self.facts.push(Fact { what: what.into(), value, unit });
    }

    /// Adds a sample to the series with these labels, and creates the series if it does not exist.
    pub fn add_sample(&mut self, what: &str, by: &'static str, unit: &'static str, size: f64, value: f64) {
        let index = self.series.iter().position(|s| s.what == what && s.by == by).unwrap_or_else(|| {
            self.series.push(Series { what: what.into(), by, unit, points: Vec::new() });
            self.series.len() - 1
        });
        let points = &mut self.series[index].points;
        match points.iter_mut().find(|p| p.size == size) {
            Some(point) => point.samples.push(value),
            None => points.push(Point { size, samples: vec![value] }),
        }
    }

    /// Formats the report as text for people.
    pub fn text(&self) -> String {
        let series = self.series.iter().map(Series::text);
        let facts = self.facts.iter().map(Fact::text);
        series.chain(facts).collect()
    }

    /// Formats the report as JSON for programs.
    pub fn json(&self) -> Value {
        let series: Vec<Value> = self.series.iter().map(Series::json).collect();
        let facts: Vec<Value> = self.facts.iter().map(Fact::json).collect();
        json!({"series": series, "facts": facts})
    }
}

impl Fact {
    fn text(&self) -> String {
        format!("{}: {} {}\n", self.what, format_value(self.value), self.unit)
    }

    fn json(&self) -> Value {
        json!({"what": self.what, "value": self.value, "unit": self.unit})
    }
}

impl Series {
    fn text(&self) -> String {
        let mut text = format!("{}, {} by {}\n", self.what, self.unit, self.by);
        for point in &self.points {
            let (median, min, max) =
                (format_value(point.median()), format_value(point.min()), format_value(point.max()));
            let samples = point.samples.len();
            text += &format!("  {:>9}: {median} ({min} to {max}, n={samples})\n", point.size);
        }
        if self.points.len() > 2 {
            let fit = self.fit();
            let (base, slope, error) =
                (format_value(fit.base), format_value(fit.slope), format_value(fit.error));
            text += &format!("  slope {slope} ± {error} each, {base} at 0\n");
        }
        text
    }

    fn json(&self) -> Value {
        let points: Vec<Value> = self.points.iter().map(Point::json).collect();
        let fit = self.fit();
        json!({"what": self.what, "by": self.by, "unit": self.unit, "points": points,
               "slope": fit.slope, "error": fit.error, "base": fit.base})
    }
}

impl Point {
    fn json(&self) -> Value {
        json!({"size": self.size, "median": self.median(), "min": self.min(), "max": self.max(),
               "samples": self.samples})
    }
}

/// Formats a value with about four significant digits.
fn format_value(value: f64) -> String {
    let digits = 3 - value.abs().max(1e-6).log10().floor() as i32;
    format!("{value:.*}", digits.clamp(0, 6) as usize)
}
