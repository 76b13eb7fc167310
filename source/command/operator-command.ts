/**
Base class of all commands.
*/
import process from 'node:process';
import {Command, Option} from 'clipanion';
import {describeCode} from '../shared/describe-code.js';

const defaultGateway = 'http://127.0.0.1:8081';

/**
Command with the options `--json` and `--gateway`.

Exit codes: 0 success, 1 rejected or invalid, 2 outcome unknown, 64 wrong usage.
*/
export abstract class OperatorCommand extends Command {
	json = Option.Boolean('--json', false, {description: 'Print JSON instead of text.'});
	gateway = Option.String('--gateway', process.env.COWSLIPRUDDER_GATEWAY ?? defaultGateway, {description: 'Address of a gateway\'s operators\' API.'});

	/** Prints `value` as JSON with `--json`, otherwise `lines`. */
	protected print(value: unknown, lines: readonly string[]): void {
		this.context.stdout.write(this.json ? `${JSON.stringify(value, undefined, '\t')}\n` : lines.map(line => `${line}\n`).join(''));
	}

	/** Prints a failure with its result code and returns the exit code. Code 0 means that the failure has none. */
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
