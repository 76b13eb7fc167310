/**
Claims of idempotency keys by several gateways in a store that fails.

Guards against a non-repeatable call running twice: answers of the store get lost,
and a gateway must then neither treat its own claim as another's nor the reverse.
*/
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import type {GatewayRequest} from '../../source/gateway/gateway-request.js';
import {IdempotencyClaims} from '../../source/gateway/idempotency-claims.js';
import {resultCode} from '../../source/generated/result-codes.js';
import {Metrics} from '../../source/shared/metrics.js';
import {MemoryStore} from '../support/memory-store.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const numberRuns = Number(process.env.RUNS ?? 200);

const createRequest = (requestId: string, body = '{"lot":7}'): GatewayRequest => ({
	requestId,
	service: 'auction-floor',
	kind: 'plain',
	organisation: 'joiners-cork',
	importance: 'normal',
	deadlineMilliseconds: 1000,
	repeatable: false,
	idempotencyKey: 'bid-7',
	method: 'POST',
	path: '/bids',
	body,
	promptTokens: 0,
	outputTokens: 0,
	prefix: '',
});

const withGateways = async (store: MemoryStore, count: number, callback: (gateways: readonly IdempotencyClaims[]) => Promise<void>): Promise<void> => {
	const gateways = Array.from({length: count}, () => new IdempotencyClaims(store, new Metrics(undefined, 'test'), () => 0));
	try {
		await callback(gateways);
	} finally {
		for (const gateway of gateways) {
			gateway.close();
		}
	}
};

test('at most one of several calls with the same key is sent, whichever store calls fail', async t => {
	const fault = fc.constantFrom('none' as const, 'none' as const, 'refused' as const, 'answer lost' as const, 'request lost' as const);
	await fc.assert(fc.asyncProperty(fc.array(fault, {minLength: 0, maxLength: 40}), fc.integer({min: 2, max: 5}), async (faults, count) => {
		const queue = [...faults];
		const store = new MemoryStore(() => queue.shift() ?? 'none');
		await withGateways(store, count, async gateways => {
			const claims = await Promise.all(gateways.map(async (gateway, index) => gateway.claim(createRequest(`request-${index}`))));
			t.ok(claims.filter(claim => claim.isOk()).length <= 1);
		});
	}), {seed, numRuns: numberRuns});
	t.comment(`seed ${seed}, ${numberRuns} runs`);
});

test('a call with a key is refused as not run while the store is unavailable', async t => {
	const store = new MemoryStore(() => 'refused');
	await withGateways(store, 1, async ([gateway]) => {
		const claim = await gateway!.claim(createRequest('a'));
		t.equal(claim._unsafeUnwrapErr(), resultCode.claimUnavailable);
	});
});

test('a later call with the same key is told the state of the first call', async t => {
	const store = new MemoryStore(() => 'none');
	await withGateways(store, 1, async ([gateway]) => {
		const claimed = await gateway!.claim(createRequest('a'));
		const first = claimed._unsafeUnwrap();
		const whileRunning = await gateway!.claim(createRequest('b'));
		t.equal(whileRunning._unsafeUnwrapErr(), resultCode.earlierCallUnresolved);
		await gateway!.recordOutcome(first, 'ran');
		const afterwards = await gateway!.claim(createRequest('c'));
		t.equal(afterwards._unsafeUnwrapErr(), resultCode.alreadyExecuted);
		const other = await gateway!.claim(createRequest('d', '{"lot":8}'));
		t.equal(other._unsafeUnwrapErr(), resultCode.keyReused);
	});
});

test('a call that did not run releases its key', async t => {
	const store = new MemoryStore(() => 'none');
	await withGateways(store, 1, async ([gateway]) => {
		const claimed = await gateway!.claim(createRequest('a'));
		const first = claimed._unsafeUnwrap();
		await gateway!.recordOutcome(first, 'not run');
		const again = await gateway!.claim(createRequest('b'));
		t.ok(again.isOk());
	});
});
