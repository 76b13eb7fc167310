/**
Client of a key-value service with the API of the etcd v3 JSON gateway.
*/
import {Buffer} from 'node:buffer';
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import {Agent} from 'undici';
import type {KeyValueService} from './key-value-service.js';
import type {StoredValue} from './stored-value.js';
import type {StoreError} from './store-error.js';

const callTimeoutMilliseconds = 2000;
const connectTimeoutMilliseconds = 1000;

type KeyValueJson = {readonly value?: string; readonly mod_revision?: string; readonly create_revision?: string; readonly lease?: string};
type RangeJson = {readonly kvs?: readonly KeyValueJson[]};
type TransactionJson = {readonly succeeded?: boolean; readonly header?: {readonly revision?: string}};
type LeaseJson = {readonly ID?: string; readonly TTL?: string; readonly result?: {readonly TTL?: string}};
type WatchJson = {readonly result?: {readonly events?: ReadonlyArray<{readonly type?: string; readonly kv?: KeyValueJson}>}};

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64');
const decode = (text: string | undefined): string => Buffer.from(text ?? '', 'base64').toString('utf8');

const toStoredValue = (json: KeyValueJson): StoredValue => ({
	value: decode(json.value),
	revision: Number(json.mod_revision ?? 0),
	createdRevision: Number(json.create_revision ?? 0),
	lease: json.lease ?? '0',
});

/** True if the connection was never established, so that the request cannot have been sent. */
const wasNotSent = (error: unknown): boolean => {
	const code = (error as {readonly code?: string}).code ?? '';
	return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
};

/**
Calls the key-value service over HTTP.

@example
```
const store = new EtcdKeyValueService('http://10.0.0.2:2379');
```
*/
export class EtcdKeyValueService implements KeyValueService {
	calls = 0;
	readonly #address: string;
	readonly #agent = new Agent({connect: {timeout: connectTimeoutMilliseconds}, headersTimeout: callTimeoutMilliseconds, bodyTimeout: 0});

	constructor(address: string) {
		this.#address = address;
	}

	async read(key: string): Promise<Result<option.Option<StoredValue>, StoreError>> {
		const answer = await this.#call<RangeJson>('/v3/kv/range', {key: encode(key)});
		return answer.map(json => option.map(toStoredValue)(option.fromNullable(json.kvs?.[0])));
	}

	async compareAndSwap({key, expectedRevision, value, lease, alsoPut = []}: Parameters<KeyValueService['compareAndSwap']>[0]): Promise<Result<option.Option<number>, StoreError>> {
		const answer = await this.#call<TransactionJson>('/v3/kv/txn', {
			compare: [{
				key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision),
			}],
			success: [
				{request_put: {key: encode(key), value: encode(value), ...lease === undefined ? {} : {lease}}},
				...alsoPut.map(other => ({request_put: {key: encode(other.key), value: encode(other.value)}})),
			],
		});
		return answer.map(json => json.succeeded === true ? option.some(Number(json.header?.revision ?? 0)) : option.none);
	}

	async compareAndDelete(key: string, expectedRevision: number): Promise<Result<boolean, StoreError>> {
		const answer = await this.#call<TransactionJson>('/v3/kv/txn', {
			compare: [{
				key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision),
			}],
			success: [{request_delete_range: {key: encode(key)}}],
		});
		return answer.map(json => json.succeeded === true);
	}

	async grantLease(seconds: number): Promise<Result<string, StoreError>> {
		const answer = await this.#call<LeaseJson>('/v3/lease/grant', {TTL: String(seconds)});
		return answer.andThen(json => json.ID === undefined ? err({kind: 'unknown' as const, detail: 'lease without identifier'}) : ok(json.ID));
	}

	async keepLeaseAlive(lease: string): Promise<Result<number, StoreError>> {
		const answer = await this.#call<LeaseJson>('/v3/lease/keepalive', {ID: lease});
		return answer.map(json => Number(json.result?.TTL ?? 0));
	}

	async leaseTimeToLive(lease: string): Promise<Result<number, StoreError>> {
		const answer = await this.#call<LeaseJson>('/v3/lease/timetolive', {ID: lease});
		return answer.map(json => Number(json.TTL ?? 0));
	}

	async revokeLease(lease: string): Promise<Result<void, StoreError>> {
		const answer = await this.#call<LeaseJson>('/v3/lease/revoke', {ID: lease});
		return answer.map(() => undefined);
	}

	watch(key: string, onChange: (value: StoredValue) => void, onEnd: () => void): {readonly stop: () => void} {
		this.calls += 1;
		const abort = new AbortController();
		void this.#watchToEnd(key, onChange, onEnd, abort.signal);
		return {
			stop() {
				abort.abort();
			},
		};
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #watchToEnd(key: string, onChange: (value: StoredValue) => void, onEnd: () => void, signal: AbortSignal): Promise<void> {
		try {
			await this.#readWatchStream(key, onChange, signal);
		} catch {
			// `onEnd` below reports the end of the watch, whatever its cause.
		}

		if (!signal.aborted) {
			onEnd();
		}
	}

	async #readWatchStream(key: string, onChange: (value: StoredValue) => void, signal: AbortSignal): Promise<void> {
		const {body} = await this.#agent.request({
			origin: this.#address,
			path: '/v3/watch',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({create_request: {key: encode(key)}}),
			signal,
		});
		let incompleteLine = '';
		body.setEncoding('utf8');
		for await (const chunk of body) {
			const lines = (incompleteLine + String(chunk)).split('\n');
			incompleteLine = lines.pop() ?? '';
			for (const line of lines.filter(text => text.trim() !== '')) {
				const {result} = JSON.parse(line) as WatchJson;
				for (const {kv, type} of result?.events ?? []) {
					if (kv !== undefined && type !== 'DELETE') {
						onChange(toStoredValue(kv));
					}
				}
			}
		}
	}

	async #call<Json>(path: string, body: unknown): Promise<Result<Json, StoreError>> {
		this.calls += 1;
		try {
			const answer = await this.#agent.request({
				origin: this.#address,
				path,
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(callTimeoutMilliseconds),
			});
			const text = await answer.body.text();
			return answer.statusCode === 200
				? ok(JSON.parse(text) as Json)
				: err({kind: answer.statusCode === 429 ? 'did not happen' : 'unknown', detail: `${path} answered ${answer.statusCode}`});
		} catch (error) {
			return err({kind: wasNotSent(error) ? 'did not happen' : 'unknown', detail: `${path}: ${(error as Error).message}`});
		}
	}
}
