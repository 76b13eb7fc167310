#!/usr/bin/env node
/**
Entry point of the command-line tool for operators.
*/
import process from 'node:process';
import {Builtins, Cli} from 'clipanion';
import {ApplyCommand} from '../command/apply-command.js';
import {CheckCommand} from '../command/check-command.js';
import {DiffCommand} from '../command/diff-command.js';
import {ExplainCommand} from '../command/explain-command.js';
import {HistoryCommand} from '../command/history-command.js';
import {QuarantineCommand} from '../command/quarantine-command.js';
import {ReportCommand} from '../command/report-command.js';
import {StatusCommand} from '../command/status-command.js';
import {TraceCommand} from '../command/trace-command.js';

const cli = new Cli({binaryLabel: 'cowsliprudder', binaryName: 'cowsliprudder', binaryVersion: '0.1.0'});
for (const command of [ApplyCommand, CheckCommand, DiffCommand, ExplainCommand, HistoryCommand, QuarantineCommand, ReportCommand, StatusCommand, TraceCommand, Builtins.HelpCommand, Builtins.VersionCommand]) {
	cli.register(command);
}

process.exitCode = await cli.run(process.argv.slice(2));
