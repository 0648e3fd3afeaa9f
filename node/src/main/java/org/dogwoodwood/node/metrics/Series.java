package org.dogwoodwood.node.metrics;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * A metric with its labels, escaped as in the Prometheus text format.
 *
 * @param name the name of the metric
 * @param labels the labels without braces, such as {@code service="a",class="b"}; may be empty
 */
record Series(String name, String labels) {

    /**
     * Returns a series.
     *
     * @param name the name of the metric
     * @param labels alternating names and values of labels
     */
    static Series of(String name, String... labels) {
        checkArgument(labels.length % 2 == 0, "Each label must have a value.");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < labels.length; i += 2) {
            text.append(i == 0 ? "" : ",").append(labels[i]).append("=\"");
            text.append(escape(labels[i + 1])).append('"');
        }
        return new Series(name, text.toString());
    }

    /** Parses the name under which a series is registered at Dropwizard. */
    static Series parse(String key) {
        int brace = key.indexOf('{');
        return brace < 0
                ? new Series(key, "")
                : new Series(key.substring(0, brace), key.substring(brace + 1, key.length() - 1));
    }

    /** Returns the name under which the series is registered at Dropwizard. */
    String registryName() {
        return labels.isEmpty() ? name : name + "{" + labels + "}";
    }

    /**
     * Returns the labels in braces, or an empty string if there are none.
     *
     * @param extra one more label such as {@code quantile="0.5"}, or an empty string
     */
    String labelsWith(String extra) {
        if (labels.isEmpty() && extra.isEmpty()) {
            return "";
        }
        String separator = labels.isEmpty() || extra.isEmpty() ? "" : ",";
        return "{" + labels + separator + extra + "}";
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
