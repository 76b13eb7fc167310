/**
Which engine prefills a prompt, which decode engine generates its tokens, and which target takes a call.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {EngineView} from '../../../source/decisions/entry/prompts/engine-view.js';
import {placeCall} from '../../../source/decisions/entry/targets/place-call.js';
import {placePrompt} from '../../../source/decisions/entry/prompts/place-prompt.js';
import {placeDecode} from '../../../source/decisions/entry/prompts/place-decode.js';

const view = (id: string, role: EngineView['role'], more: Partial<EngineView> = {}): EngineView => ({
	id, role, availabilityZone: 'a', slots: 64, attempts: 0, readMilliseconds: 0, isAvoided: false, failureShare: 0, ...more,
});

const dossier = {
	tokens: 17_000, sharedKey: 'lot-7', sharedTokens: 13_300, bodyBytes: 34_000,
};
const question = {
	tokens: 380, sharedKey: 'form', sharedTokens: 90, bodyBytes: 700,
};

const place = (prompt: typeof dossier, engines: readonly EngineView[], cachingEngines: readonly string[] = [], avoid: readonly string[] = []) => {
	const placed = placePrompt(prompt, {
		engines, availabilityZone: 'a', cachedTokens: id => cachingEngines.includes(id) ? prompt.sharedTokens : 0, bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, avoid: new Set(avoid),
	});
	return option.isSome(placed) ? placed.value : undefined;
};

test('a long prompt is prefilled on a prefill engine', t => {
	t.match(place(dossier, [view('p1', 'prefill'), view('d1', 'decode', {attempts: 20})]), {engine: {id: 'p1'}, way: 'prefill first'});
	t.end();
});

test('a short question is prefilled in place while prefill engines are busy, and on a prefill engine while those are idle and decode engines are busy', t => {
	t.match(place(question, [view('p1', 'prefill', {readMilliseconds: 200}), view('d1', 'decode', {attempts: 10})]), {way: 'in place'});
	t.match(place(question, [view('p1', 'prefill'), view('d1', 'decode', {attempts: 40, readMilliseconds: 60})]), {way: 'prefill first'});
	t.end();
});

test('a shared part is used where it is cached, and fetched from there when another engine has the shorter queue', t => {
	const short = place(dossier, [view('p1', 'prefill'), view('p2', 'prefill'), view('d1', 'decode')], ['p2']);
	t.match(short, {engine: {id: 'p2'}, fetchFrom: undefined});
	const long = place(dossier, [view('p1', 'prefill'), view('p2', 'prefill', {readMilliseconds: 300}), view('d1', 'decode', {attempts: 40})], ['p2']);
	t.match(long, {engine: {id: 'p1'}, fetchFrom: {id: 'p2'}});
	t.ok((long?.readMilliseconds ?? 999) < 120);
	t.end();
});

test('a part of which several engines have pieces cached is fetched from the engine that has most of it', t => {
	const tokensByEngine: Readonly<Record<string, number>> = {p1: 2000, p2: 6000, d1: 13_000};
	const placed = placePrompt(dossier, {
		engines: [view('p1', 'prefill'), view('p2', 'prefill', {readMilliseconds: 900}), view('d1', 'decode', {attempts: 40})], availabilityZone: 'a', cachedTokens: id => tokensByEngine[id] ?? 0, bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, avoid: new Set(),
	});
	t.match(option.isSome(placed) ? placed.value : undefined, {engine: {id: 'p1'}, fetchFrom: {id: 'd1'}, cachedTokens: 2000});
	t.ok((option.isSome(placed) ? placed.value.readMilliseconds : 0) < 120);
	t.end();
});

test('all gateways prefill a part that is cached nowhere on the same engine', t => {
	const engines = [view('p1', 'prefill'), view('p2', 'prefill'), view('p3', 'prefill'), view('d1', 'decode')];
	const chosenEngines = ['a', 'b', 'c', 'd', 'e', 'f'].map(key => place({...dossier, sharedKey: key}, engines)?.engine.id);
	const chosenFromReversed = ['a', 'b', 'c', 'd', 'e', 'f'].map(key => place({...dossier, sharedKey: key}, engines.toReversed())?.engine.id);
	t.strictSame(chosenEngines, chosenFromReversed);
	t.ok(new Set(chosenEngines).size > 1);
	t.end();
});

test('engines that failed this request are not used for it, avoided engines only when there is no other', t => {
	t.equal(place(dossier, [view('p1', 'prefill'), view('p2', 'prefill'), view('d1', 'decode', {attempts: 30})], [], ['p1'])?.engine.id, 'p2');
	t.equal(place(dossier, [view('p1', 'prefill', {isAvoided: true}), view('p2', 'prefill', {readMilliseconds: 100}), view('d1', 'decode', {attempts: 30})])?.engine.id, 'p2');
	t.equal(place(dossier, [view('p1', 'prefill', {isAvoided: true}), view('d1', 'decode', {attempts: 30})])?.engine.id, 'p1');
	t.end();
});

test('nothing is placed without a decode engine', t => {
	t.equal(place(dossier, [view('p1', 'prefill')]), undefined);
	t.end();
});

test('tokens are generated on an engine with few running requests and no in-place prefill', t => {
	const chosen = placeDecode({
		engines: [view('p1', 'prefill'), view('d1', 'decode', {attempts: 10}), view('d2', 'decode', {attempts: 4, readMilliseconds: 90}), view('d3', 'decode', {attempts: 6})], availabilityZone: 'a', prefillZone: 'a', bodyBytes: 700, avoid: new Set(),
	});
	t.equal(option.isSome(chosen) ? chosen.value.id : '', 'd3');
	t.end();
});

test('a call stays in its zone until the target there is nearly full', t => {
	const target = (id: string, availabilityZone: string, attempts: number) => ({
		id, availabilityZone, slots: 6, attempts, isAvoided: false, failureShare: 0,
	});
	const chosen = (near: number): string => {
		const placed = placeCall({
			targets: [target('near', 'a', near), target('far', 'b', 0)], availabilityZone: 'a', avoid: new Set(), random: () => 0.5,
		});
		return option.isSome(placed) ? placed.value.id : '';
	};

	t.equal(chosen(1), 'near');
	t.equal(chosen(5), 'far');
	t.end();
});
