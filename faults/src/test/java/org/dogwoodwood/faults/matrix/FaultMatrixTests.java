package org.dogwoodwood.faults.matrix;

import static io.cucumber.junit.platform.engine.Constants.FILTER_TAGS_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PARALLEL_CONFIG_FIXED_PARALLELISM_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PARALLEL_CONFIG_STRATEGY_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PARALLEL_EXECUTION_ENABLED_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Verifies that the invariants hold when a single fault is injected at each step at which it can
 * occur. Scenarios that KNOWN-RED.txt lists have the tag {@code @known-red} and are excluded.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("org/dogwoodwood/faults/matrix/fault-matrix.feature")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.dogwoodwood.faults.matrix")
@ConfigurationParameter(key = PARALLEL_EXECUTION_ENABLED_PROPERTY_NAME, value = "true")
@ConfigurationParameter(key = PARALLEL_CONFIG_STRATEGY_PROPERTY_NAME, value = "fixed")
@ConfigurationParameter(key = PARALLEL_CONFIG_FIXED_PARALLELISM_PROPERTY_NAME, value = "3")
@ConfigurationParameter(key = FILTER_TAGS_PROPERTY_NAME, value = "not @known-red")
class FaultMatrixTests {}
