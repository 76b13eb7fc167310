/**
One process of a test fleet.
*/
import {spawn, type ChildProcess as NodeChildProcess} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';

/**
Starts a compiled program of this repository and ends only what it started.

@example
```
const gateway = new ChildProcess('gateway-1', 'build/source/binaries/cowsliprudder-gateway.js', ['gateway-1.toml'], 'logs');
```
*/
export class ChildProcess {
	readonly exited: Promise<number | undefined>;
	readonly #child: NodeChildProcess;
	#hasExited = false;

	constructor(readonly name: string, program: string, programArguments: readonly string[], logFolder: string) {
		const logFile = fs.openSync(`${logFolder}/${name}.log`, 'a');
		this.#child = spawn(process.execPath, [program, ...programArguments], {stdio: ['ignore', logFile, logFile]});
		fs.closeSync(logFile);
		this.exited = new Promise(resolve => {
			this.#child.once('exit', code => {
				this.#hasExited = true;
				resolve(code ?? undefined);
			});
		});
	}

	get pid(): number {
		return this.#child.pid ?? 0;
	}

	get isRunning(): boolean {
		return !this.#hasExited;
	}

	signal(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/** Resident memory in bytes, 0 once it has ended. */
	get residentBytes(): number {
		try {
			const [, resident = '0'] = fs.readFileSync(`/proc/${this.pid}/statm`, 'utf8').split(' ');
			return Number(resident) * 4096;
		} catch {
			return 0;
		}
	}

	/** Processor time used so far, in milliseconds. */
	get processorMilliseconds(): number {
		try {
			const fields = fs.readFileSync(`/proc/${this.pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
			return (Number(fields[11]) + Number(fields[12])) * 10;
		} catch {
			return 0;
		}
	}
}
