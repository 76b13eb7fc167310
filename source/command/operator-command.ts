/**
What all commands of the command line share.
*/
import process from 'node:process';
import {Command, Option} from 'clipanion';
import {describeCode} from '../shared/describe-code.js';

const defaultGateway = 'http://127.0.0.1:8081';

/**
A command with `--json` and `--gateway`.

Exit codes: 0 done, 1 refused or invalid, 2 the outcome is not known, 64 wrong use.
*/
export abstract class OperatorCommand extends Command {
	json = Option.Boolean('--json', false, {description: 'Print JSON instead of text.'});
	gateway = Option.String('--gateway', process.env.COWSLIPRUDDER_GATEWAY ?? defaultGateway, {description: 'Address of a gateway\'s operators\' API.'});

	/** Prints the value as JSON, or its lines as text. */
	protected print(value: unknown, lines: readonly string[]): void {
		this.context.stdout.write(this.json ? `${JSON.stringify(value, undefined, '\t')}\n` : lines.map(line => `${line}\n`).join(''));
	}

	/** Prints a numbered failure and returns the exit code. */
	protected fail({code, errors, current}: {readonly code: number; readonly errors: readonly string[]; readonly current?: unknown}): number {
		const {name, outcome, action} = describeCode(code);
		const heading = code === 0 ? [] : [`${code} ${name}`];
		if (this.json) {
			this.print({
				error: {
					code, name, errors, current,
				},
			}, []);
		} else {
			this.context.stderr.write([...heading, ...errors, ...code === 0 ? [] : [action]].map(line => `${line}\n`).join(''));
		}

		return code !== 0 && outcome === 'unknown' ? 2 : 1;
	}
}
