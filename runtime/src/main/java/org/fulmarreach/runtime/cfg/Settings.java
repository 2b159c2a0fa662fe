package org.fulmarreach.runtime.cfg;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Validated values of the settings of one role. Immutable and thread-safe. */
public final class Settings {
    private final Role role;
    private final Map<Setting, String> values;

    Settings(Role role, Map<Setting, String> values) {
        this.role = role;
        this.values = new EnumMap<>(values);
    }

    /*
     * Public API
     */

    /** Returns the role. */
    public Role role() {
        return role;
    }

    /** Returns the value as text, never null. */
    public String text(Setting setting) {
        return values.getOrDefault(setting, "");
    }

    /** Returns the value as a whole number in the setting's unit. */
    public long number(Setting setting) {
        return Long.parseLong(values.get(setting));
    }

    /** Returns the value as an int in the setting's unit. */
    public int intNumber(Setting setting) {
        return Math.toIntExact(number(setting));
    }

    /** Returns the value as an address. */
    public Address address(Setting setting) {
        return Address.parse(values.get(setting));
    }

    /** Returns the value as addresses, in the order given. */
    public List<Address> addresses(Setting setting) {
        List<Address> addresses = new ArrayList<>();
        for (String part : splitList(text(setting))) {
            addresses.add(Address.parse(part));
        }
        return addresses;
    }

    /** Returns a copy with another value, which is not validated; for tests and for ports chosen at start. */
    public Settings withValue(Setting setting, String value) {
        Map<Setting, String> copy = new EnumMap<>(values);
        copy.put(setting, value);
        return new Settings(role, copy);
    }

    /*
     * Helpers
     */

    static List<String> splitList(String text) {
        List<String> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.isBlank()) {
                parts.add(part.trim());
            }
        }
        return parts;
    }
}
