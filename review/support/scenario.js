/**
A small deployment for one scenario: a store, replicas and entry gateways on loopback,
clients that keep their connections, and a record of all that clients and replicas saw.
*/
import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Gateway} from './gateway.js';
import {PlatformStore} from './platform-store.js';
import {Replica} from './replica.js';

const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 5000, idleTimeoutMs: 20_000,
};
/** The clients of a scenario begin within this time, so that their requests don't come in step. */
const firstPauseMilliseconds = 300;
const routeDefaults = {
	host: 'a.example', timeoutMs: 6000, targetLatencyMs: 800, priority: 0, maxAttempts: 1,
};

export const pause = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

// An error of the scenario itself says nothing about the rule: exit code 2.
for (const event of ['uncaughtException', 'unhandledRejection']) {
	process.on(event, error => {
		console.error(error);
		process.exit(2);
	});
}

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
	process.on(signal, () => {
		process.exit(2);
	});
}

/** False when the scenario is to run without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export class Scenario {
	store = new PlatformStore();
	replicas = [];
	gateways = [];
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#record;
	#startedAt = performance.now();
	#requests = 0;

	/** `recordPath` is the file to which the scenario writes what was sent, answered and run. */
	constructor(recordPath) {
		this.#record = fs.openSync(recordPath, 'w');
	}

	get #now() {
		return Math.round(performance.now() - this.#startedAt);
	}

	/** What the gateway with this number wrote about an error that ended its process. */
	fatalLine(number) {
		const text = fs.readFileSync(path.join(this.#folder, `edge-${number}.log`), 'utf8');
		const line = text.split('\n').find(candidate => candidate.includes('"event":"fatal"'));
		return line === undefined ? '' : JSON.parse(line).stack.split('\n', 1)[0];
	}

	write(event, facts = {}) {
		fs.writeSync(this.#record, `${JSON.stringify({milliseconds: this.#now, event, ...facts})}\n`);
	}

	async start({routes, services, replicas, gateways = 1}) {
		await this.store.start();
		this.store.put('op/config', {
			version: 3, routes: routes.map(route => ({...routeDefaults, ...route})), services: services.map(service => ({healthPath: '/healthz', maxConnections: 100, ...service})), limits,
		});
		for (const options of replicas) {
			await this.addReplica(options); // eslint-disable-line no-await-in-loop
		}

		for (let index = 0; index < gateways; index++) {
			await this.addGateway(); // eslint-disable-line no-await-in-loop
		}

		// The gateways find the replicas, and the clients wait as long as they do on the platform.
		await pause(1500);
	}

	async addReplica(options) {
		const {run} = options;
		const replica = new Replica({
			...options,
			store: this.store,
			run: (response, arrival, count) => {
				this.write('run', {replica: options.id, request: arrival.requestId, path: arrival.path});
				run(response, arrival, count);
			},
		});
		await replica.start();
		this.replicas.push(replica);
		return replica;
	}

	/** A replica crashes, and is back after that time. */
	async crash(replicaId, milliseconds) {
		this.write('crash', {replica: replicaId});
		await this.replicas.find(({id}) => id === replicaId).crash(milliseconds);
		this.write('back', {replica: replicaId});
	}

	async addGateway() {
		const number = this.gateways.length + 1;
		const seeds = this.gateways.filter(({ended}) => ended === undefined).map(({controlAddress}) => controlAddress);
		const gateway = await Gateway.start({
			name: `edge-${number}`, storeAddress: this.store.address, folder: this.#folder, seeds,
		});
		this.gateways.push(gateway);
		this.write('gateway ready', {gateway: `edge-${number}`});
		return gateway;
	}

	/** A client with one connection that it keeps. */
	createClient() {
		return new http.Agent({keepAlive: true, maxSockets: 1});
	}

	/**
	Sends a request and waits for its end. `status` is 0 when the connection ended before a head
	came; `isWhole` tells whether the answer was complete. `onResponse` may read the body itself.
	*/
	async ask(agent, {path: target, method = 'POST', body = '', headers = {}, gateway = this.gateways[0], deadlineMilliseconds = 6000, onResponse}) {
		this.#requests++;
		const requestId = this.#requests.toString(16).padStart(16, '0');
		this.write('sent', {request: requestId, path: target});
		const reply = await new Promise(resolve => {
			const request = http.request({
				host: gateway.host, port: gateway.port, method, path: target, agent, headers: {
					host: 'a.example', 'x-request-id': requestId, 'x-deadline-ms': String(deadlineMilliseconds), 'content-length': String(Buffer.byteLength(body)), ...headers,
				},
			}, response => {
				const chunks = [];
				let bytes = 0;
				let lastAt = performance.now();
				let longestGap = 0;
				response.on('data', chunk => {
					longestGap = Math.max(longestGap, performance.now() - lastAt);
					lastAt = performance.now();
					bytes += chunk.length;
					if (bytes <= 65_536) {
						chunks.push(chunk);
					}
				});
				response.on('error', () => {
					// The close event follows and tells that the answer is not whole.
				});
				response.on('close', () => {
					resolve({
						status: response.statusCode, headers: response.headers, bytes, body: Buffer.concat(chunks).toString('latin1'), isWhole: response.complete,
					});
				});
				onResponse?.(response, request);
			});
			request.on('error', error => {
				resolve({
					status: 0, headers: {}, bytes: 0, body: '', isWhole: false, error: error.code ?? error.message,
				});
			});
			request.end(body);
		});
		this.write('answered', {
			request: requestId, path: target, status: reply.status, bytes: reply.bytes, isWhole: reply.isWhole, error: reply.error,
		});
		return {...reply, requestId};
	}

	/** Ids of the requests that this replica began to run. */
	runsOf(replicaId) {
		return new Set(this.replicas.filter(({id}) => id === replicaId).flatMap(({arrivals}) => arrivals).map(({requestId}) => requestId));
	}

	/**
	Sends requests one after the other on one kept connection until `isGoing` is false. Each reply
	tells whether the connection had carried a complete answer before, and how long it took.
	*/
	async askRepeatedly(question, isGoing, pauseMilliseconds = 20) {
		const agent = this.createClient();
		const replies = [];
		let isKept = false;
		await pause(firstPauseMilliseconds * Math.random());
		/* eslint-disable no-await-in-loop */
		while (isGoing()) {
			const sentAt = performance.now();
			const reply = await this.ask(agent, question);
			replies.push({
				...reply, isKept, sentAt, milliseconds: performance.now() - sentAt,
			});
			isKept = reply.isWhole && reply.headers.connection !== 'close';
			await pause((reply.status === 0 ? 200 : pauseMilliseconds) * (0.5 + Math.random()));
		}
		/* eslint-enable no-await-in-loop */

		return replies;
	}

	/** Writes the verdict, ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if the case was not played as meant. */
	async finish({isBroken, isPlayed}, facts) {
		const word = isBroken ? 'rule broken' : 'rule held';
		const verdict = {verdict: isPlayed ? word : 'not played', hasTrouble, ...facts};
		this.write('verdict', verdict);
		console.log(JSON.stringify(verdict));
		await this.stop();
		const exitCode = isBroken ? 1 : 0;
		process.exit(isPlayed ? exitCode : 2); // eslint-disable-line unicorn/no-process-exit
	}

	async stop() {
		await Promise.all(this.gateways.map(async gateway => gateway.stop()));
		for (const replica of this.replicas) {
			replica.stop();
		}

		this.store.stop();
		fs.closeSync(this.#record);
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}
}
