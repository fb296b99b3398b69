//! Tests of the strict parsing of header and query values of a request.

use super::*;
use crate::net::client::quota_header::{parse_quota, Quota, QuotaLimits};

#[test]
fn only_valid_quota_headers_are_accepted() {
    let limits = QuotaLimits { max_units: 4.0, fleet_gateway_count: 5.0 };
    let parse = |text| parse_quota(text, limits);
    assert_eq!(parse("units=2,spread=3,first=1"), Some(Quota { units: 2.0, gateway_count: 3.0 }));
    assert_eq!(parse("units=1.5, spread=5, first=4"), Some(Quota { units: 1.5, gateway_count: 5.0 }));
    for invalid in [
        "units=0,spread=3,first=1",
        "units=-1,spread=3,first=1",
        "units=+1,spread=3,first=1",
        "units=1e0,spread=3,first=1",
        "units=NaN,spread=3,first=1",
        "units=inf,spread=3,first=1",
        "units=4.5,spread=3,first=1",
        "units=1,units=1,spread=3,first=1",
        "units=1,spread=0,first=1",
        "units=1,spread=2.5,first=1",
        "units=1,spread=6,first=1",
        "units=1,spread=3,first=5",
        "units=1,spread=3,first=0.5",
        "units=1,spread=3",
        "units",
        "",
    ] {
        assert_eq!(parse(invalid), None, "an invalid quota header was accepted: {invalid:?}");
    }
}

#[test]
fn only_valid_tenants_are_accepted() {
    assert_eq!(parse_tenant("a=1&customer=00000000b4d65521"), Some(TenantId(0xb4d6_5521)));
    for invalid in [
        "customer=zz",
        "customer=b4d65521",
        "customer=+0000000b4d65521",
        "customer=0000000200000000",
        "customer=00000000b4d65521&customer=00000000b4d65521",
        "customer=00000000b4d655211",
        "",
    ] {
        assert_eq!(parse_tenant(invalid), None, "an invalid tenant was accepted: {invalid:?}");
    }
}
