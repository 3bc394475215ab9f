package org.geraniumproxy.measure.capacity;

import java.util.Locale;

/**
 * One measured value.
 *
 * @param quantity description of the measured quantity
 * @param input name of the varied input
 * @param size size of the input
 * @param value measured value
 * @param unit unit of the value
 */
public record CapacityResult(String quantity, String input, int size, double value, String unit) {
    /**
     * Formats the result as a line of text.
     *
     * @return quantity, input, size, value and unit in columns
     */
    public String toText() {
        return String.format(Locale.ROOT, "%-34s %-10s %6d  %14.3f %s", quantity, input, size, value, unit);
    }

    /**
     * Formats the result as a JSON object.
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
