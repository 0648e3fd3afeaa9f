package org.dogwoodwood.node.settings;

/**
 * A problem with one key of the settings.
 *
 * @param key the key with its table, or the file or line if no key can be read
 * @param problem what is wrong with its value
 * @param remedy how to correct it
 */
public record SettingsProblem(String key, String problem, String remedy) {

    @Override
    public String toString() {
        return key + ": " + problem + " " + remedy;
    }
}
