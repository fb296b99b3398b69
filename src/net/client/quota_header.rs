//! The `X-Quota` header: `units=2,spread=3,first=1`.

use super::headers::parse_decimal;
use crate::settings::Settings;

/// Most units of one request where the settings state no maximum.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// Bounds on the fields of an `X-Quota` header.
#[derive(Clone, Copy, Debug)]
pub struct QuotaLimits {
    /// Most units of one request.
    pub max_units: f64,
    /// Gateways of the fleet, 1 at least.
    pub gateway_count: f64,
}

impl QuotaLimits {
    /// The bounds that the settings state.
    pub fn from_settings(settings: &Settings) -> Self {
        QuotaLimits {
            max_units: if settings.max_units > 0.0 { settings.max_units } else { DEFAULT_MAX_UNITS },
            gateway_count: settings.gateway_count.max(1.0),
        }
    }
}

/// What a request draws from its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units of the request.
    pub units: f64,
    /// Gateways through which the tenant's requests come in.
    pub gateway_count: f64,
}

/// Reads the header; none unless each field occurs once and is within the limits. Unknown fields are skipped.
pub fn parse_quota(text: &str, limits: QuotaLimits) -> Option<Quota> {
    let mut units = None;
    let mut gateway_count = None;
    let mut first_gateway = None;
    for field in text.split(',') {
        let (name, value) = field.split_once('=')?;
        let (slot, range) = match name.trim() {
            "units" => (&mut units, f64::MIN_POSITIVE..=limits.max_units),
            "spread" => (&mut gateway_count, 1.0..=limits.gateway_count),
            "first" => (&mut first_gateway, 0.0..=limits.gateway_count - 1.0),
            _ => continue,
        };
        let value = parse_decimal(value).filter(|value| range.contains(value))?;
        if slot.replace(value).is_some() {
            return None;
        }
    }
    let quota = Quota { units: units?, gateway_count: gateway_count? };
    let are_whole = quota.gateway_count.fract() == 0.0 && first_gateway?.fract() == 0.0;
    are_whole.then_some(quota)
}
