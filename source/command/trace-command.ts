/**
`cowsliprudder trace`: shows the log lines of one request from the logs of several processes.
*/
import {Command, Option} from 'clipanion';
import {OperatorCommand} from './operator-command.js';
import {readTexts} from './read-texts.js';
import {traceLines} from './trace-lines.js';

/**
Reads JSON log lines from files, or from standard input if none is given.
*/
export class TraceCommand extends OperatorCommand {
	static override paths = [['trace']];
	static override usage = Command.Usage({
		description: 'Tell what happened to a request, from the logs of several processes.',
		examples: [['From files', 'cowsliprudder trace 9c41d07be2a35f68 edge-1.log edge-2.log'], ['From standard input', 'cat *.log | cowsliprudder trace 9c41d07be2a35f68']],
	});

	requestId = Option.String();
	files = Option.Rest();

	async execute(): Promise<number> {
		const texts = await readTexts(this.files);
		if (texts.isErr()) {
			return this.fail({code: 0, errors: texts.error});
		}

		const lines = traceLines(texts.value.flatMap(text => text.split('\n')), this.requestId);
		if (lines.length === 0) {
			return this.fail({code: 0, errors: [`no line names request ${this.requestId}; requests that went well are logged in samples under load`]});
		}

		this.print({request: this.requestId, lines}, [...lines]);
		return 0;
	}
}
