package org.geraniumproxy.measure.capacity;

import java.util.Locale;

/**
 * One measured figure.
 *
 * @param quantity what was measured
 * @param input name of the input that was varied
 * @param size size of the input
 * @param value the figure
 * @param unit unit of the figure
 */
public record CapacityResult(String quantity, String input, int size, double value, String unit) {
    /**
     * Returns the figure as a line of text.
     *
     * @return quantity, input, size, figure and unit
     */
    public String toText() {
        return String.format(Locale.ROOT, "%-34s %-10s %6d  %14.3f %s", quantity, input, size, value, unit);
    }

    /**
     * Returns the figure as a JSON object.
     *
     * @return the object on one line
     */
    public String toJson() {
        return String.format(
                Locale.ROOT,
                "{\"quantity\":\"%s\",\"input\":\"%s\",\"size\":%d,\"value\":%.3f,\"unit\":\"%s\"}",
                quantity,
                input,
                size,
                value,
                unit);
    }
}
