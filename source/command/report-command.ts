/**
`cowsliprudder report`: summarizes the logs and metrics of several processes as tables and a plot.
*/
import fs from 'node:fs';
import {Command, Option} from 'clipanion';
import {formatTable} from './format-table.js';
import {OperatorCommand} from './operator-command.js';
import {parseLogLine} from './parse-log-line.js';
import {plotReport} from './plot-report.js';
import {readTexts} from './read-texts.js';
import {summarizeLogs} from './summarize-logs.js';
import {summarizeMetrics} from './summarize-metrics.js';

/**
Reads JSON log lines from files, or from standard input if none is given.
*/
export class ReportCommand extends OperatorCommand {
	static override paths = [['report']];
	static override usage = Command.Usage({
		description: 'Sum up the logs and metrics of several processes.',
		examples: [
			['Tables', 'cowsliprudder report edge-1.log edge-2.log'],
			['With metrics, and a plot', 'cowsliprudder report --metrics edge-1.metrics --metrics edge-2.metrics --plot day.svg edge-*.log'],
		],
	});

	plot = Option.String('--plot', {description: 'File to write a plot to, as SVG.'});
	metrics = Option.Array('--metrics', [], {description: 'File with what a metrics address answered.'});
	files = Option.Rest();

	async execute(): Promise<number> {
		const texts = await readTexts(this.files);
		const metrics = this.metrics.length === 0 ? undefined : await readTexts(this.metrics);
		const errors = [texts, metrics].flatMap(result => result?.isErr() === true ? result.error : []);
		if (texts.isErr() || errors.length > 0) {
			return this.fail({code: 0, errors});
		}

		const lines = texts.value.flatMap(text => text.split('\n')).map(line => parseLogLine(line)).filter(line => line !== undefined);
		if (lines.length === 0) {
			return this.fail({code: 0, errors: ['no line of a log was found']});
		}

		const report = summarizeLogs(lines);
		const tables = [...report.tables, ...metrics?.isOk() === true ? [summarizeMetrics(metrics.value)] : []];
		if (this.plot !== undefined && !this.#write(this.plot, plotReport(report))) {
			return 1;
		}

		this.print({...report, tables}, tables.flatMap(table => formatTable(table)));
		return 0;
	}

	/** Prints an error and returns false if the file cannot be written. */
	#write(file: string, text: string): boolean {
		try {
			fs.writeFileSync(file, text);
			return true;
		} catch (error) {
			this.fail({code: 0, errors: [`${file}: ${(error as Error).message}`]});
			return false;
		}
	}
}
