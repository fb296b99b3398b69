//! Repeats, medians, least-squares slopes, and how they are printed.

use serde_json::{json, Value};

/// All that was measured at one size.
pub struct Point {
    /// The size: so many servers, gateways, customers...
    pub size: f64,
    /// One figure for each repeat.
    pub samples: Vec<f64>,
}

impl Point {
    /// The middle one of the samples.
    pub fn median(&self) -> f64 {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        match sorted.len() {
            0 => f64::NAN,
            n if n % 2 == 1 => sorted[n / 2],
            n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
        }
    }

    /// The least and the greatest sample.
    pub fn range(&self) -> (f64, f64) {
        let fold = |f: fn(f64, f64) -> f64, from| self.samples.iter().copied().fold(from, f);
        (fold(f64::min, f64::INFINITY), fold(f64::max, f64::NEG_INFINITY))
    }
}

/// A straight line through medians.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The figure at size 0.
    pub base: f64,
    /// What each further one of the size adds.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
}

/// The least-squares line through points.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let n = points.len() as f64;
    let mean = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
    let gateway_count: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / gateway_count;
    let base = y - slope * x;
    let off: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    Fit { base, slope, error: (off / (n - 2.0).max(1.0) / gateway_count).sqrt() }
}

/// One figure over several sizes.
pub struct Series {
    /// What was measured.
    pub what: String,
    /// What the size counts.
    pub by: &'static str,
    /// The unit of the figure.
    pub unit: &'static str,
    /// The points, smallest size first.
    pub points: Vec<Point>,
}

impl Series {
    /// The line through the medians.
    pub fn fit(&self) -> Fit {
        fit(&self.points.iter().map(|p| (p.size, p.median())).collect::<Vec<_>>())
    }
}

/// All that a command has measured.
#[derive(Default)]
pub struct Report {
    /// Figures over sizes.
    pub series: Vec<Series>,
    /// Figures of one size: what, how much, in which unit.
    pub facts: Vec<(String, f64, &'static str)>,
}

impl Report {
    /// Adds a figure of one size.
    pub fn fact(&mut self, what: impl Into<String>, value: f64, unit: &'static str) {
        self.facts.push((what.into(), value, unit));
    }

    /// Adds a sample to a series, which is begun where it is new.
    pub fn sample(&mut self, what: &str, by: &'static str, unit: &'static str, size: f64, value: f64) {
        let place = self.series.iter().position(|s| s.what == what && s.by == by).unwrap_or_else(|| {
            self.series.push(Series { what: what.into(), by, unit, points: Vec::new() });
            self.series.len() - 1
        });
        let points = &mut self.series[place].points;
        match points.iter_mut().find(|p| p.size == size) {
            Some(point) => point.samples.push(value),
            None => points.push(Point { size, samples: vec![value] }),
        }
    }

    /// As text for people.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for s in &self.series {
            out += &format!("{}, {} by {}\n", s.what, s.unit, s.by);
            for p in &s.points {
                let (least, most) = p.range();
                let n = p.samples.len();
                out += &format!(
                    "  {:>9}: {} ({} to {}, n={n})\n",
                    p.size,
                    short(p.median()),
                    short(least),
                    short(most)
                );
            }
            let f = s.fit();
            if s.points.len() > 2 {
                let (base, slope, error) = (short(f.base), short(f.slope), short(f.error));
                out += &format!("  slope {slope} ± {error} each, {base} at 0\n");
            }
        }
        for (what, value, unit) in &self.facts {
            out += &format!("{what}: {} {unit}\n", short(*value));
        }
        out
    }

    /// For machines.
    pub fn json(&self) -> Value {
        let series: Vec<Value> = self
            .series
            .iter()
            .map(|s| {
                let points: Vec<Value> = s
                    .points
                    .iter()
                    .map(|p| {
                        let (min, max) = p.range();
                        json!({"size": p.size, "median": p.median(), "min": min, "max": max, "samples": p.samples})
                    })
                    .collect();
                let f = s.fit();
                json!({"what": s.what, "by": s.by, "unit": s.unit, "points": points,
                       "slope": f.slope, "error": f.error, "base": f.base})
            })
            .collect();
        let facts: Vec<Value> =
            self.facts.iter().map(|(w, v, u)| json!({"what": w, "value": v, "unit": u})).collect();
        json!({"series": series, "facts": facts})
    }
}

/// A figure with four digits.
fn short(value: f64) -> String {
    let digits = 3 - value.abs().max(1e-6).log10().floor() as i32;
    format!("{value:.*}", digits.clamp(0, 6) as usize)
}
