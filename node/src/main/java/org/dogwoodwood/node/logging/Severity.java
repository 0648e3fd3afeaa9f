package org.dogwoodwood.node.logging;

/** The severity of a log event. */
public enum Severity {
    /** Normal operation. */
    INFO,
    /** A fault that the node handles without an operator. */
    WARNING,
    /** A fault that an operator has to correct. */
    ERROR
}
