/**
 * Settings of each process: one JSON file, checked against a JSON Schema and for inconsistent combinations before any
 * port or file is opened. All problems are reported at once, each with its path and what would be valid.
 */
package org.elmline.daemon.settings;
