/**
Client of the platform's list of VMs.

Requests carry the entity tag of the last answer, so that the platform does not send an
unchanged list again.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import {Agent} from 'undici';
import type {ListedVm} from './listed-vm.js';

const callTimeoutMilliseconds = 2000;

const isListedVm = (value: unknown): value is ListedVm => {
	const vm = value as Partial<ListedVm> | undefined;
	return typeof vm?.name === 'string' && typeof vm.address === 'string' && typeof vm.service === 'string'
		&& typeof vm.availabilityZone === 'string' && (vm.kind === 'entry' || vm.kind === 'target') && (vm.state === 'live' || vm.state === 'leaving');
};

/**
Reads the list of VMs.

@example
```
const changed = await new VmListClient('http://10.0.0.3:8090').read();
```
*/
export class VmListClient {
	readonly #address: string;
	readonly #agent = new Agent({connect: {timeout: callTimeoutMilliseconds}});
	#entityTag = '';

	constructor(address: string) {
		this.#address = address;
	}

	/** Returns the list, none if it is unchanged since the last call, or the reason why it could not be read. */
	async read(): Promise<Result<option.Option<readonly ListedVm[]>, string>> {
		try {
			const answer = await this.#agent.request({
				origin: this.#address, path: '/vms', method: 'GET', headers: {'if-none-match': this.#entityTag}, signal: AbortSignal.timeout(callTimeoutMilliseconds),
			});
			if (answer.statusCode === 304) {
				await answer.body.dump();
				return ok(option.none);
			}

			const list = await answer.body.json();
			if (answer.statusCode !== 200 || !Array.isArray(list) || !list.every(entry => isListedVm(entry))) {
				return err(`6004 malformed platform answer: VM list, status ${answer.statusCode}`);
			}

			this.#entityTag = String(answer.headers.etag ?? '');
			return ok(option.some(list));
		} catch (error) {
			return err(`VM list: ${(error as Error).message}`);
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
