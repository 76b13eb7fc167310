/**
Prefill and decode throughput of an engine in each role.
*/
import type {EngineRole} from '../../generated/messages.js';

/**
Tokens per second that one engine processes when it does only prefill or only decode.
*/
export type EngineThroughput = Readonly<Record<EngineRole, {readonly prefill: number; readonly decode: number}>>;
