//! Parses the `X-Quota` header, for example `units=2,spread=3,first=1`.

use super::headers::parse_decimal;
use crate::settings::Settings;

/// Maximum units of one request if the settings give no positive maximum.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// Limits on the fields of an `X-Quota` header.
#[derive(Clone, Copy, Debug)]
pub struct QuotaLimits {
    /// Maximum units of one request, inclusive.
    pub max_units: f64,
    /// Number of gateways in the fleet, at least 1.
    pub fleet_gateway_count: f64,
}

impl QuotaLimits {
    /// Derives the limits from the settings.
    pub fn from_settings(settings: &Settings) -> Self {
        QuotaLimits {
            max_units: if settings.max_units > 0.0 { settings.max_units } else { DEFAULT_MAX_UNITS },
            fleet_gateway_count: settings.fleet_gateway_count.max(1.0),
        }
    }
}

/// The fields of an `X-Quota` header that the gateway uses. The field `first` is only validated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units that the request consumes of its tenant's quota.
    pub units: f64,
    /// Number of gateways that receive the tenant's requests.
    pub gateway_count: f64,
}

/// Parses the value of the header. Returns `None` unless `units`, `spread` and `first` each occur exactly
/// once and are within the limits, and `spread` and `first` are integers. Unknown fields are ignored, but a
/// field without `=` makes the header invalid.
pub fn parse_quota(text: &str, limits: QuotaLimits) -> Option<Quota> {
    let mut units = None;
    let mut gateway_count = None;
    let mut first_gateway = None;
    for field in text.split(',') {
        let (name, value) = field.split_once('=')?;
        let (slot, range) = match name.trim() {
            "units" => (&mut units, f64::MIN_POSITIVE..=limits.max_units),
            "spread" => (&mut gateway_count, 1.0..=limits.fleet_gateway_count),
            "first" => (&mut first_gateway, 0.0..=limits.fleet_gateway_count - 1.0),
            _ => continue,
        };
        let value = parse_decimal(value).filter(|value| range.contains(value))?;
        if slot.replace(value).is_some() {
            return None;
        }
    }
    let quota = Quota { units: units?, gateway_count: gateway_count? };
    let are_integers = quota.gateway_count.fract() == 0.0 && first_gateway?.fract() == 0.0;
    are_integers.then_some(quota)
}
