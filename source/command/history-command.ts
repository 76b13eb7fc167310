/**
`cowsliprudder history`: lists the accepted configurations.
*/
import {Command} from 'clipanion';
import {parseDocument} from '../configuration/parse-document.js';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import {diffLines} from './diff-lines.js';
import {OperatorCommand} from './operator-command.js';
import {readJson} from './read-json.js';

const describeChanges = (record: AcceptedConfiguration, previous: AcceptedConfiguration | undefined): readonly string[] => previous === undefined
	? []
	: diffLines(parseDocument(previous.document).unwrapOr(undefined), parseDocument(record.document).unwrapOr(undefined));

/**
Prints the stored generations, newest first, each with its author, time and changes.
*/
export class HistoryCommand extends OperatorCommand {
	static override paths = [['history']];
	static override usage = Command.Usage({
		description: 'List accepted configurations, newest first.',
		examples: [['List', 'cowsliprudder history']],
	});

	async execute(): Promise<number> {
		const history = await readJson<{readonly records: readonly AcceptedConfiguration[]}>(this.gateway, 'GET', '/history');
		return history.match(({records}) => {
			this.print(records, records.flatMap((record, index) => [
				`generation ${record.generation}, ${record.submittedAt}, ${record.author}, submission ${record.submissionId}`,
				...describeChanges(record, records[index + 1]).map(line => `  ${line}`),
			]));
			return 0;
		}, failure => this.fail(failure));
	}
}
