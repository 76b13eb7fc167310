/**
`cowsliprudder apply`: submits a configuration document.
*/
import fs from 'node:fs';
import os from 'node:os';
import {Command, Option} from 'clipanion';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import {resultCode} from '../generated/result-codes.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {OperatorCommand} from './operator-command.js';
import {readJson} from './read-json.js';

/**
Submits the document together with the generation that it is based on. If another change
was accepted in the meantime, the gateway rejects the document and returns that change.
*/
export class ApplyCommand extends OperatorCommand {
	static override paths = [['apply']];
	static override usage = Command.Usage({
		description: 'Submit a configuration document.',
		details: 'The document replaces the one in force if that still has the generation given by `--based-on`, or the one that this command reads first.',
		examples: [['Apply on what is in force', 'cowsliprudder apply fleet.toml'], ['Apply on generation 7', 'cowsliprudder apply fleet.toml --based-on 7']],
	});

	file = Option.String();
	basedOn = Option.String('--based-on', {description: 'Generation that the document was made from.'});
	author = Option.String('--author', os.userInfo().username, {description: 'Name shown to other operators.'});

	async execute(): Promise<number> {
		if (!fs.existsSync(this.file)) {
			return this.fail({code: resultCode.configurationInvalid, errors: [`${this.file}: no such file`]});
		}

		const basedOn = this.basedOn === undefined ? await this.#generationInForce() : Number(this.basedOn);
		const submitted = await readJson<AcceptedConfiguration>(this.gateway, 'POST', '/configuration', {
			document: fs.readFileSync(this.file, 'utf8'), author: this.author, basedOn, submissionId: newIdentifier(),
		});
		return submitted.match(({generation, submissionId}) => {
			this.print({generation, submissionId}, [`accepted as generation ${generation}, submission ${submissionId}`]);
			return 0;
		}, failure => this.fail(failure));
	}

	/** Returns 0 if there is no configuration yet, or if it cannot be read. */
	async #generationInForce(): Promise<number> {
		const current = await readJson<AcceptedConfiguration>(this.gateway, 'GET', '/configuration');
		return current.match(({generation}) => generation, () => 0);
	}
}
