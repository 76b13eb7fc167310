/**
`cowsliprudder diff`: compares a document with the configuration in force.
*/
import fs from 'node:fs';
import {Command, Option} from 'clipanion';
import {parseDocument} from '../configuration/parse-document.js';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import {resultCode} from '../generated/result-codes.js';
import {diffLines} from './diff-lines.js';
import {OperatorCommand} from './operator-command.js';
import {readJson} from './read-json.js';

/**
Prints each value that applying the document would change.
*/
export class DiffCommand extends OperatorCommand {
	static override paths = [['diff']];
	static override usage = Command.Usage({
		description: 'Show what a document would change in the configuration in force.',
		examples: [['Compare', 'cowsliprudder diff fleet.toml --gateway http://10.0.0.4:8081']],
	});

	file = Option.String();

	async execute(): Promise<number> {
		if (!fs.existsSync(this.file)) {
			return this.fail({code: resultCode.configurationInvalid, errors: [`${this.file}: no such file`]});
		}

		const current = await readJson<AcceptedConfiguration>(this.gateway, 'GET', '/configuration');
		const compared = current
			.andThen(accepted => parseDocument(accepted.document).map(document => ({accepted, document})).mapErr(errors => ({code: resultCode.malformedStoredDocument, errors})))
			.andThen(({accepted, document}) => parseDocument(fs.readFileSync(this.file, 'utf8'))
				.map(proposed => ({generation: accepted.generation, differences: diffLines(document, proposed)}))
				.mapErr(errors => ({code: resultCode.configurationInvalid, errors})));
		return compared.match(({generation, differences}) => {
			this.print({generation, differences}, [`against generation ${generation}: ${differences.length} differences`, ...differences]);
			return 0;
		}, failure => this.fail(failure));
	}
}
