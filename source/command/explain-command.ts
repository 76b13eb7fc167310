/**
`cowsliprudder explain`: prints the meaning of a result code.
*/
import {Command, Option} from 'clipanion';
import {resultCodeDetails} from '../generated/result-codes.js';
import {OperatorCommand} from './operator-command.js';

/**
Prints one entry of the table of result codes.
*/
export class ExplainCommand extends OperatorCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Explain a result code.',
		examples: [['Explain', 'cowsliprudder explain 2001']],
	});

	code = Option.String();

	async execute(): Promise<number> {
		const detail = resultCodeDetails.get(Number(this.code));
		if (detail === undefined) {
			return this.fail({code: 0, errors: [`${this.code}: no such result code; docs/RESULT-CODES.md lists them`]});
		}

		const {code, name, outcome, status, meaning, action} = detail;
		this.print(detail, [`${code} ${name}`, `ran: ${outcome}`, `HTTP status: ${status}`, meaning, action]);
		return 0;
	}
}
