package org.fulmarreach.bench.slopes;

import java.util.List;
import java.util.Locale;

/**
 * A value measured at several sizes, with its least-squares line.
 *
 * @param name what was measured
 * @param unit unit of the value
 * @param size meaning of the size
 * @param points sizes and measured values
 */
record Slope(String name, String unit, String size, List<Point> points) {
    static final String CSV_HEADER = "name,unit,size,x,y,slope,intercept,r2";

    /**
     * One measurement.
     *
     * @param x size
     * @param y measured value
     */
    record Point(double x, double y) {}

    double slope() {
        double meanX = meanX();
        double meanY = meanY();
        double products = 0;
        double squares = 0;
        for (Point point : points) {
            products += (point.x - meanX) * (point.y - meanY);
            squares += (point.x - meanX) * (point.x - meanX);
        }
        return squares == 0 ? 0 : products / squares;
    }

    double intercept() {
        return meanY() - slope() * meanX();
    }

    /** Returns the coefficient of determination of the line. */
    double r2() {
        double meanY = meanY();
        double residual = 0;
        double total = 0;
        for (Point point : points) {
            double error = point.y - intercept() - slope() * point.x;
            residual += error * error;
            total += (point.y - meanY) * (point.y - meanY);
        }
        return total == 0 ? 1 : 1 - residual / total;
    }

    String toRow() {
        StringBuilder measured = new StringBuilder();
        for (Point point : points) {
            measured.append(measured.isEmpty() ? "" : ", ")
                    .append(String.format(Locale.ROOT, "%.0f: %s", point.x, toShort(point.y)));
        }
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %s | %s | %.3f |",
                name,
                unit,
                size,
                measured,
                toShort(slope()),
                toShort(intercept()),
                r2());
    }

    List<String> toCsv() {
        return points.stream()
                .map(point -> String.format(
                        Locale.ROOT,
                        "%s,%s,%s,%.0f,%.3f,%.4f,%.4f,%.4f",
                        name,
                        unit,
                        size,
                        point.x,
                        point.y,
                        slope(),
                        intercept(),
                        r2()))
                .toList();
    }

    private static String toShort(double value) {
        double size = Math.abs(value);
        return String.format(Locale.ROOT, size >= 100 ? "%.0f" : size >= 1 ? "%.1f" : "%.3f", value);
    }

    private double meanX() {
        return points.stream().mapToDouble(Point::x).average().orElse(0);
    }

    private double meanY() {
        return points.stream().mapToDouble(Point::y).average().orElse(0);
    }
}
