package org.fulmarreach.runtime.cfg;

import java.net.URI;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Reads settings from flags and environment variables; a flag takes precedence over its variable. Stateless. */
public final class SettingsReader {
    private final String programVersion;

    /** Constructs a reader for a program of the given version. */
    public SettingsReader(String programVersion) {
        this.programVersion = programVersion;
    }

    /*
     * Public API
     */

    /**
     * Reads and validates all settings.
     *
     * @param args command line: the role and flags
     * @param environment environment variables
     * @return the settings, or a problem whose message lists each fault on a separate line
     * @throws ArgumentParserException for unknown flags, and for help and version requests; the parser prints those
     */
    public Result<Settings> read(String[] args, Map<String, String> environment) throws ArgumentParserException {
        Namespace parsed = constructParser().parseArgs(args);
        Role role = Role.valueOf(parsed.getString("role"));
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        List<String> faults = new ArrayList<>();
        for (Setting setting : Setting.values()) {
            if (setting.isFor(role)) {
                readSetting(setting, parsed, environment, values, faults);
            }
        }
        checkCombinations(role, values, faults);
        if (!faults.isEmpty()) {
            return Result.err(Problem.of(ErrorCode.BAD_SETTING, String.join("\n", faults)));
        }
        return Result.ok(new Settings(role, values));
    }

    /** Constructs the command-line parser with one subcommand per role. */
    public ArgumentParser constructParser() {
        ArgumentParser parser = ArgumentParsers.newFor("fulmard")
                // Detection would start a process.
                .terminalWidthDetection(false)
                .build()
                .description("Daemon of fulmarreach. Each flag can also be set by its environment variable.")
                .version("fulmard " + programVersion);
        parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
        Subparsers roles = parser.addSubparsers().title("roles").metavar("ROLE");
        for (Role role : Role.values()) {
            Subparser sub = roles.addParser(role.name().toLowerCase(Locale.ROOT))
                    .help(role == Role.ENTRY ? "serve callers and operators" : "run beside a target")
                    .setDefault("role", role.name());
            for (Setting setting : Setting.values()) {
                if (setting.isFor(role)) {
                    sub.addArgument("--" + setting.flag())
                            .dest(setting.name())
                            .metavar(setting.kind().name())
                            .help(describe(setting));
                }
            }
        }
        return parser;
    }

    /*
     * Helpers
     */

    private static String describe(Setting setting) {
        String unit = setting.unit().isEmpty() ? "" : " Unit: " + setting.unit() + ".";
        String defaultText = setting.defaultValue() == null
                ? " Required."
                : setting.defaultValue().isEmpty() ? "" : " Default: " + setting.defaultValue() + ".";
        return (setting.description() + unit + defaultText + " Variable: " + setting.variable()).replace("%", "%%");
    }

    private static void readSetting(
            Setting setting,
            Namespace parsed,
            Map<String, String> environment,
            Map<Setting, String> values,
            List<String> faults) {
        String value = parsed.getString(setting.name());
        if (value == null) {
            value = environment.get(setting.variable());
        }
        if (value == null) {
            value = setting.defaultValue();
        }
        if (value == null) {
            faults.add("--" + setting.flag() + " (" + setting.variable() + ") is missing: " + setting.description());
            return;
        }
        String fault = findFault(setting, value.trim());
        if (fault != null) {
            faults.add("--" + setting.flag() + " (" + setting.variable() + "): " + fault);
            return;
        }
        values.put(setting, value.trim());
    }

    private static String findFault(Setting setting, String value) {
        if (value.isEmpty() && "".equals(setting.defaultValue())) {
            return null;
        }
        try {
            return switch (setting.kind()) {
                case TEXT, SECRET -> findTextFault(setting, value);
                case NUMBER -> findRangeFault(setting, Long.parseLong(value));
                case ADDRESS -> {
                    Address.parse(value);
                    yield null;
                }
                case ADDRESSES -> findListFault(setting, value);
                case URL -> findUrlFault(value);
            };
        } catch (NumberFormatException e) {
            return "expected a whole number of " + setting.unit() + ", found '" + value + "'";
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    private static String findTextFault(Setting setting, String value) {
        if (value.length() < setting.min() || value.length() > setting.max()) {
            return "expected " + setting.min() + " to " + setting.max() + " characters, found " + value.length();
        }
        if (setting.kind() == Setting.Kind.TEXT && !value.matches("[A-Za-z0-9._-]+")) {
            return "expected letters, digits, dots, dashes and underscores, found '" + value + "'";
        }
        return null;
    }

    private static String findRangeFault(Setting setting, long value) {
        if (value < setting.min() || value > setting.max()) {
            return "expected " + setting.min() + " to " + setting.max() + " " + setting.unit() + ", found " + value;
        }
        return null;
    }

    private static String findListFault(Setting setting, String value) {
        List<String> parts = Settings.splitList(value);
        parts.forEach(Address::parse);
        if (parts.size() < setting.min() || parts.size() > setting.max()) {
            return "expected " + setting.min() + " to " + setting.max() + " addresses, found " + parts.size();
        }
        return null;
    }

    private static String findUrlFault(String value) {
        URI uri = URI.create(value);
        boolean valid = "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
        return valid ? null : "expected http://ip:port, found '" + value + "'";
    }

    private static void checkCombinations(Role role, Map<Setting, String> values, List<String> faults) {
        if (role != Role.ENTRY || !values.containsKey(Setting.OPERATOR_HTTP)) {
            return;
        }
        boolean exposed = !Address.parse(values.get(Setting.OPERATOR_HTTP)).isLoopback();
        if (exposed && values.getOrDefault(Setting.TOKEN, "").isEmpty()) {
            faults.add("--operator-http is not a loopback address while --token is empty: set an operator token, "
                    + "or listen on 127.0.0.1");
        }
    }
}
