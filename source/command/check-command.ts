/**
`cowsliprudder check`: validates a configuration document without contacting a gateway.
*/
import fs from 'node:fs';
import {Command, Option} from 'clipanion';
import {parseDocument} from '../configuration/parse-document.js';
import {resultCode} from '../generated/result-codes.js';
import {OperatorCommand} from './operator-command.js';

/**
Prints all errors with their position in the document, or that the document is valid.
*/
export class CheckCommand extends OperatorCommand {
	static override paths = [['check']];
	static override usage = Command.Usage({
		description: 'Check a configuration document and name every error.',
		examples: [['Check a document', 'cowsliprudder check fleet.toml']],
	});

	file = Option.String();

	async execute(): Promise<number> {
		if (!fs.existsSync(this.file)) {
			return this.fail({code: resultCode.configurationInvalid, errors: [`${this.file}: no such file`]});
		}

		const parsed = parseDocument(fs.readFileSync(this.file, 'utf8'));
		return parsed.match(document => {
			this.print({valid: true}, [`${this.file}: valid, ${document.services.length} services`]);
			return 0;
		}, errors => this.fail({code: resultCode.configurationInvalid, errors: errors.map(error => `${this.file}: ${error}`)}));
	}
}
