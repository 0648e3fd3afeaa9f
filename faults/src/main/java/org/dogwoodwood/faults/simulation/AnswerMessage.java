package org.dogwoodwood.faults.simulation;

import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;

/** An ANSWER frame. */
public record AnswerMessage(AttemptId id, FinishedCall finished, LoadReport report) {}
