package org.dogwoodwood.cli;

import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** Thrown when a command fails; the exit code states whether it may have taken effect. */
public class CommandException extends DogwoodwoodException {

    private static final long serialVersionUID = 1L;

    private final ExitStatus status;
    private final String detail;
    private final String remedy;

    private CommandException(ExitStatus status, ErrorCode code, String detail, String remedy) {
        super(code, detail);
        this.status = status;
        this.detail = detail;
        this.remedy = remedy;
    }

    /**
     * Returns an exception with the default remedy of its error code.
     *
     * @param status the exit code, not null
     * @param code the error code, not null
     * @param detail what happened, as a sentence
     */
    public static CommandException of(ExitStatus status, ErrorCode code, String detail) {
        return new CommandException(status, code, detail, code.remedy());
    }

    /** Returns an exception with a specific remedy. */
    public static CommandException of(
            ExitStatus status, ErrorCode code, String detail, String remedy) {
        return new CommandException(status, code, detail, remedy);
    }

    /** Returns an exception for an invalid command line or invalid tool settings. */
    public static CommandException usage(String detail, String remedy) {
        return of(ExitStatus.USAGE, ErrorCode.USAGE, detail, remedy);
    }

    /** Returns the exit code. */
    public ExitStatus status() {
        return status;
    }

    /** Returns what happened, without the error number and the remedy. */
    public String detail() {
        return detail;
    }

    /** Returns what the operator can do. */
    public String remedy() {
        return remedy;
    }
}
