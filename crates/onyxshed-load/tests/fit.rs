//! Tests of the line fitted to measured points.

use onyxshed_load::slopes::fit::Slope;
use proptest::prelude::*;
use rstest::rstest;

fn slope(points: &[(f64, f64)]) -> Slope {
    let mut slope = Slope::new("memory", "jobs", "MiB");
    points.iter().for_each(|(x, y)| slope.add_point(*x, *y));
    slope
}

#[rstest]
#[case(&[])]
#[case(&[(3.0, 4.0)])]
#[case(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])]
#[case(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)])]
fn report_shows_line_and_largest_residual(#[case] points: &[(f64, f64)]) {
    insta::assert_snapshot!(
        format!(
            "fit_{}_{}",
            points.len(),
            points.last().map_or(0.0, |p| p.1)
        ),
        slope(points)
    );
}

proptest! {
    #[test]
    fn points_on_line_fit_exactly(a in -1e3..1e3_f64, b in -1e3..1e3_f64, step in 1.0..10.0_f64) {
        let points: Vec<(f64, f64)> = (0..6_u8).map(|n| f64::from(n) * step).map(|x| (x, a + b * x)).collect();
        let fit = slope(&points).fit();
        prop_assert!((fit.slope - b).abs() < 1e-6 && (fit.intercept - a).abs() < 1e-6);
        prop_assert!(fit.residual_max < 1e-6);
    }
}
