package org.dogwoodwood.cli;

import joptsimple.OptionParser;

/** A subcommand of the tool. */
public interface Command {

    /** Returns the name on the command line. */
    String name();

    /** Returns the operands for the usage line, for example {@code "DIR"}. */
    String operands();

    /** Returns what the command does, as one sentence. */
    String summary();

    /**
     * Declares the options specific to this command.
     *
     * @param parser the parser, which already has the common options
     */
    default void declareOptions(OptionParser parser) {}

    /**
     * Runs the command.
     *
     * @param invocation the parsed command line, the settings and the HTTP client, not null
     * @throws org.dogwoodwood.core.DogwoodwoodException if the command fails
     */
    CommandResult run(Invocation invocation);
}
