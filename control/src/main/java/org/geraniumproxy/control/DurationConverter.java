package org.geraniumproxy.control;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import java.time.Duration;
import org.geraniumproxy.settings.Durations;

/** Parses durations with a unit from the command line. JCommander instantiates it by reflection. */
public final class DurationConverter implements IStringConverter<Duration> {
    @Override
    public Duration convert(String text) {
        return Durations.parse(text)
                .orElseThrow(() ->
                        new ParameterException("expected " + Durations.FORMAT_DESCRIPTION + ", but found: " + text));
    }
}
